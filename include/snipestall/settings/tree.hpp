#pragma once

#include "snipestall/settings/effective_settings.hpp"
#include "snipestall/settings/fault.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

struct Document;

/// A validated settings document. Immutable; a change creates another Tree.
///
///     auto tree = Tree::parse(yaml);
///     if (!tree) report(tree.error());
///     auto view = tree->effective("samsun-hall", 7);
class Tree
{
public:
    /// Reads and validates a YAML text. Reports all faults at once.
    static tl::expected<Tree, std::vector<Fault>> parse(std::string_view yaml);
    /// Validates a document whose values are each within the schema: runs the checks that involve
    /// several values.
    static tl::expected<Tree, std::vector<Fault>> check(Document document);

    Tree(const Tree &);
    Tree(Tree &&) noexcept;
    Tree &operator=(const Tree &);
    Tree &operator=(Tree &&) noexcept;
    ~Tree();

    /// Canonical YAML text: the same content gives the same bytes. It is not meant to be read by
    /// people; parse() reads it about forty times as fast as other YAML.
    [[nodiscard]] std::string toCanonicalYaml() const;
    /// The same content as block-style YAML, for people and files.
    [[nodiscard]] std::string toReadableYaml() const;
    /// SHA-256 of the canonical text, in lower-case hex.
    [[nodiscard]] std::string hash() const;

    /// The settings resolved for one data centre.
    [[nodiscard]] std::shared_ptr<const EffectiveSettings> effective(std::string_view dataCentre,
                                                                     std::uint64_t version) const;
    /// Names of the data centres, in byte order.
    [[nodiscard]] std::vector<std::string> dataCentres() const;
    /// The values as written, by path, before inheritance.
    [[nodiscard]] const Document &document() const;

private:
    struct Content;
    static tl::expected<Tree, std::vector<Fault>> checkWith(Document document,
                                                            std::string canonical);
    explicit Tree(std::shared_ptr<const Content> content);

    std::shared_ptr<const Content> m_content;
};

} // namespace snipestall::settings
