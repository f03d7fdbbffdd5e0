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

/// A checked settings document. Immutable; a change makes another Tree.
///
///     auto tree = Tree::parse(yaml);
///     if (!tree) report(tree.error());
///     auto view = tree->effective("samsun-hall", 7);
class Tree
{
public:
    /// Every fault in one go.
    static tl::expected<Tree, std::vector<Fault>> parse(std::string_view yaml);
    /// Holds a document whose values are each allowed to what no single value shows.
    static tl::expected<Tree, std::vector<Fault>> check(Document document);

    Tree(const Tree &);
    Tree(Tree &&) noexcept;
    Tree &operator=(const Tree &);
    Tree &operator=(Tree &&) noexcept;
    ~Tree();

    /// Canonical text: the same content gives the same bytes. YAML, but not made to be read by
    /// people; it is parsed some forty times as fast as other YAML.
    [[nodiscard]] std::string toYaml() const;
    /// The same content in blocks, for people and files.
    [[nodiscard]] std::string toReadableYaml() const;
    /// SHA-256 of toYaml(), lower-case hex.
    [[nodiscard]] std::string hash() const;

    /// The view of one data centre.
    [[nodiscard]] std::shared_ptr<const EffectiveSettings> effective(std::string_view dataCentre,
                                                                     std::uint64_t version) const;
    [[nodiscard]] std::vector<std::string> dataCentres() const;
    /// What is written, path by path.
    [[nodiscard]] const Document &document() const;

private:
    struct Content;
    static tl::expected<Tree, std::vector<Fault>> checkWith(Document document,
                                                            std::string canonical);
    explicit Tree(std::shared_ptr<const Content> content);

    std::shared_ptr<const Content> m_content;
};

} // namespace snipestall::settings
