#include "snipestall/wire/delta.hpp"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace snipestall::wire {

namespace {

/// Fast; higher levels make the result of a small change hardly smaller.
constexpr int Level = 3;
constexpr int MinWindowLog = 10;
constexpr int MaxWindowLog = 27;

struct ContextDeleter
{
    void operator()(ZSTD_CCtx *context) const { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx *context) const { ZSTD_freeDCtx(context); }
};

/// The window has to cover both the base and the data, so that every part of the base can be
/// referred to.
int windowLog(std::size_t bytes)
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), MinWindowLog, MaxWindowLog);
}

Result<std::string> faulty(std::size_t code)
{
    return fail(ErrorKind::InvalidArgument,
                std::string("can't decompress: ") + ZSTD_getErrorName(code)
                    + "; request the data without a base");
}

} // namespace

std::string compress(std::string_view data, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, Level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty()) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                               windowLog(base.size() + data.size()));
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string out(ZSTD_compressBound(data.size()), '\0');
    const std::size_t size =
        ZSTD_compress2(context.get(), out.data(), out.size(), data.data(), data.size());
    // The bound leaves no other error than a lack of memory.
    if (ZSTD_isError(size) != 0)
        throw std::bad_alloc();
    out.resize(size);
    return out;
}

Result<std::string> decompress(std::string_view compressed, std::size_t maxSize,
                               std::string_view base)
{
    const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxSize)
        return fail(ErrorKind::InvalidArgument,
                    "the compressed data has no size of up to " + std::to_string(maxSize)
                        + " bytes; read it from the store");
    const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, MaxWindowLog);
    if (!base.empty())
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string out(size, '\0');
    const std::size_t written = ZSTD_decompressDCtx(context.get(), out.data(), out.size(),
                                                    compressed.data(), compressed.size());
    if (ZSTD_isError(written) != 0)
        return faulty(written);
    out.resize(written);
    return out;
}

} // namespace snipestall::wire
