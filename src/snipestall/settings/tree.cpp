#include "snipestall/settings/tree.hpp"

#include "snipestall/settings/document.hpp"
#include "snipestall/settings/sha256.hpp"

#include "canonical_text.hpp"
#include "cross_checks.hpp"
#include "document_reader.hpp"
#include "document_writer.hpp"
#include "effective_builder.hpp"

#include <utility>

namespace snipestall::settings {

struct Tree::Content
{
    Document document;
    std::string yaml;
    std::string hash;
};

namespace {

/// Whether the text is not a YAML section at all. Cross checks of such a text would report missing
/// sections and hide the one real fault.
bool isUnreadable(const std::vector<Fault> &faults)
{
    return faults.size() == 1 && faults.front().path.empty();
}

} // namespace

tl::expected<Tree, std::vector<Fault>> Tree::parse(std::string_view yaml)
{
    if (auto document = readCanonical(yaml))
        return checkWith(std::move(*document), std::string(yaml));
    ReadResult read = readDocument(yaml);
    if (read.faults.empty())
        return check(std::move(read.document));
    std::vector<Fault> faults = std::move(read.faults);
    if (!isUnreadable(faults)) {
        const std::vector<Fault> crossFaults = crossCheck(read.document);
        faults.insert(faults.end(), crossFaults.begin(), crossFaults.end());
    }
    return tl::unexpected(std::move(faults));
}

tl::expected<Tree, std::vector<Fault>> Tree::check(Document document)
{
    std::string canonical = writeCanonical(document);
    return checkWith(std::move(document), std::move(canonical));
}

tl::expected<Tree, std::vector<Fault>> Tree::checkWith(Document document, std::string canonical)
{
    std::vector<Fault> faults = crossCheck(document);
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    auto content = std::make_shared<Content>();
    content->document = std::move(document);
    content->yaml = std::move(canonical);
    content->hash = sha256Hex(content->yaml);
    return Tree(std::move(content));
}

Tree::Tree(std::shared_ptr<const Content> content)
    : m_content(std::move(content))
{ }

Tree::Tree(const Tree &) = default;
Tree::Tree(Tree &&) noexcept = default;
Tree &Tree::operator=(const Tree &) = default;
Tree &Tree::operator=(Tree &&) noexcept = default;
Tree::~Tree() = default;

std::string Tree::toCanonicalYaml() const
{
    return m_content->yaml;
}

std::string Tree::toReadableYaml() const
{
    return writeReadable(m_content->document);
}

std::string Tree::hash() const
{
    return m_content->hash;
}

std::shared_ptr<const EffectiveSettings> Tree::effective(std::string_view dataCentre,
                                                         std::uint64_t version) const
{
    return buildEffective(m_content->document, dataCentre, version);
}

std::vector<std::string> Tree::dataCentres() const
{
    return m_content->document.names("data_centres");
}

const Document &Tree::document() const
{
    return m_content->document;
}

} // namespace snipestall::settings
