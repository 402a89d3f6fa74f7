#pragma once

#include "absl/status/statusor.h"
#include "absl/types/span.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace briarspar::placement {

/// Index of a site. At most 65,534 sites.
struct SiteId {
  uint16_t Value = NoSite;

  static constexpr uint16_t NoSite = 0xFFFF;

  constexpr bool valid() const { return Value != NoSite; }
  friend constexpr bool operator==(SiteId a, SiteId b) { return a.Value == b.Value; }
  friend constexpr bool operator!=(SiteId a, SiteId b) { return a.Value != b.Value; }
  friend constexpr bool operator<(SiteId a, SiteId b) { return a.Value < b.Value; }
};

/// An IPv4 prefix. The address is in host byte order; bits beyond the length are zero.
struct Prefix {
  uint32_t Address = 0;
  uint8_t Length = 0; ///< Number of leading bits, 0..32.

  /// Clears the address bits beyond the length and limits the length to 32.
  static Prefix of(uint32_t address, uint8_t length);
  /// Parses "192.0.2.0/24". Returns InvalidArgument if bits beyond the length are set.
  static absl::StatusOr<Prefix> parse(std::string_view text);

  bool contains(uint32_t address) const;
  friend bool operator==(const Prefix &a, const Prefix &b) {
    return a.Address == b.Address && a.Length == b.Length;
  }
  friend bool operator<(const Prefix &a, const Prefix &b) {
    return a.Address != b.Address ? a.Address < b.Address : a.Length < b.Length;
  }
};

/// Sets the site of a block, or removes the block when the site is not valid.
struct BlockChange {
  Prefix Block;
  SiteId Site;
};

/// Immutable map from client blocks to sites with longest-prefix match. Versions share unchanged
/// pages (copy-on-write). Safe to use from any thread; the owner publishes a new version by
/// swapping the shared pointer atomically.
class BlockTable {
public:
  /// Returns a table without blocks.
  static std::shared_ptr<const BlockTable> empty();

  /// Returns a table with the changes applied in order. Copies each changed page once.
  std::shared_ptr<const BlockTable> with(absl::Span<const BlockChange> changes) const;

  /// Returns the site of the longest block that contains the address, or an invalid id.
  SiteId find(uint32_t address) const;

  /// Returns the site of this exact block, or an invalid id.
  SiteId siteOf(const Prefix &block) const;

  /// Number of blocks.
  size_t size() const { return Count; }

  /// Memory used by this version in bytes, including pages shared with other versions.
  size_t memoryBytes() const;

private:
  // A block with a length of at least 16, in its /16 page. Sorted by start, then by length.
  struct Entry {
    uint16_t Start;       // Lower 16 bits of the block's address.
    uint16_t Site;        // SiteId::Value.
    uint32_t Length : 6;  // Prefix length, 16..32.
    uint32_t Parent : 26; // Index of the enclosing entry in the page, or NoParent.
  };
  static_assert(sizeof(Entry) == 8, "1.8 million entries must stay under the memory bound");
  static constexpr uint32_t NoParent = (1U << 26) - 1;
  using Page = std::vector<Entry>;
  // Entries of a page in a single allocation, which saves a lookup one cache miss compared to a
  // pointer to a vector.
  struct PageSlot {
    std::shared_ptr<const Entry[]> Entries;
    uint32_t Count = 0;
  };
  using Directory = std::array<PageSlot, 256>;
  // Blocks with a length below 16, and the resulting site of each /16.
  struct ShortBlocks {
    std::map<Prefix, SiteId> Blocks;
    std::vector<uint16_t> SiteOfPage;
  };

  static Page withPageChanges(const PageSlot &old, absl::Span<const BlockChange> changes);
  static std::shared_ptr<const ShortBlocks> withShortChanges(const ShortBlocks *old,
                                                             absl::Span<const BlockChange> changes);
  static bool covers(const Entry &entry, uint16_t low);
  static void linkParents(Page &page);
  absl::Span<const Entry> pageOf(uint32_t address) const;
  static PageSlot store(const Page &page);

  std::array<std::shared_ptr<const Directory>, 256> Root;
  std::shared_ptr<const ShortBlocks> ShortPrefixes;
  size_t Count = 0;
};

} // namespace briarspar::placement
