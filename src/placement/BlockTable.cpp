#include "placement/BlockTable.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <string>
#include <utility>

namespace briarspar::placement {

namespace {

constexpr uint8_t PageBits = 16;

// Estimates for memoryBytes(), in bytes: the allocator header of one allocation, and the control
// block of a page with the headers of its two allocations.
constexpr size_t HeaderBytes = 16;
constexpr size_t PageOverheadBytes = 24 + 2 * HeaderBytes;

uint32_t maskOf(uint8_t length) { return length == 0 ? 0 : ~uint32_t{0} << (32 - length); }

std::string formatAddress(uint32_t address) {
  return absl::StrCat(address >> 24, ".", (address >> 16) & 0xFF, ".", (address >> 8) & 0xFF, ".",
                      address & 0xFF);
}

} // namespace

Prefix Prefix::of(uint32_t address, uint8_t length) {
  uint8_t limited = std::min<uint8_t>(length, 32);
  return {address & maskOf(limited), limited};
}

absl::StatusOr<Prefix> Prefix::parse(std::string_view text) {
  absl::Status malformed = absl::InvalidArgumentError(
      absl::StrCat("expected an IPv4 prefix like 192.0.2.0/24, got \"", std::string(text), "\""));
  std::vector<std::string> parts = absl::StrSplit(std::string(text), '/');
  uint32_t length = 0;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &length) || length > 32)
    return malformed;
  std::vector<std::string> bytes = absl::StrSplit(parts[0], '.');
  if (bytes.size() != 4)
    return malformed;
  uint32_t address = 0;
  for (const std::string &byte : bytes) {
    uint32_t n = 0;
    if (!absl::SimpleAtoi(byte, &n) || n > 255)
      return malformed;
    address = address << 8 | n;
  }
  if ((address & ~maskOf(static_cast<uint8_t>(length))) != 0)
    return absl::InvalidArgumentError(absl::StrCat(formatAddress(address), "/", length,
                                                   " has bits set beyond its length of ", length));
  return Prefix{address, static_cast<uint8_t>(length)};
}

bool Prefix::contains(uint32_t address) const { return (address & maskOf(Length)) == Address; }

std::shared_ptr<const BlockTable> BlockTable::empty() { return std::make_shared<BlockTable>(); }

BlockTable::Page BlockTable::withPageChanges(const PageSlot &old,
                                             absl::Span<const BlockChange> changes) {
  // The last change of a block takes effect. The map is in page order.
  std::map<std::pair<uint16_t, uint8_t>, SiteId> latest;
  for (const BlockChange &change : changes)
    latest[{static_cast<uint16_t>(change.Block.Address), change.Block.Length}] = change.Site;

  Page page;
  page.reserve(old.Count + latest.size());
  auto append = [&page](std::pair<uint16_t, uint8_t> key, SiteId site) {
    if (site.valid())
      page.push_back({key.first, site.Value, key.second, NoParent});
  };
  auto it = latest.begin();
  for (const Entry &entry : absl::MakeConstSpan(old.Entries.get(), old.Count)) {
    std::pair<uint16_t, uint8_t> key{entry.Start, static_cast<uint8_t>(entry.Length)};
    for (; it != latest.end() && it->first < key; ++it)
      append(it->first, it->second);
    if (it != latest.end() && it->first == key)
      append(key, (it++)->second);
    else
      page.push_back(entry);
  }
  for (; it != latest.end(); ++it)
    append(it->first, it->second);
  return page;
}

std::shared_ptr<const BlockTable::ShortBlocks>
BlockTable::withShortChanges(const ShortBlocks *old, absl::Span<const BlockChange> changes) {
  auto result = std::make_shared<ShortBlocks>();
  if (old != nullptr)
    result->Blocks = old->Blocks;
  for (const BlockChange &change : changes)
    if (change.Site.valid())
      result->Blocks[change.Block] = change.Site;
    else
      result->Blocks.erase(change.Block);
  if (result->Blocks.empty())
    return nullptr;
  result->SiteOfPage.assign(size_t{1} << PageBits, SiteId::NoSite);
  // The map is ordered by address, then by length, so a longer block overwrites the block that
  // contains it.
  for (const auto &[block, site] : result->Blocks) {
    auto first = result->SiteOfPage.begin() + (block.Address >> PageBits);
    std::fill_n(first, size_t{1} << (PageBits - block.Length), site.Value);
  }
  return result;
}

std::shared_ptr<const BlockTable> BlockTable::with(absl::Span<const BlockChange> changes) const {
  std::vector<BlockChange> shortChanges;
  std::vector<BlockChange> longChanges;
  for (const BlockChange &change : changes) {
    BlockChange normalized{Prefix::of(change.Block.Address, change.Block.Length), change.Site};
    (normalized.Block.Length < PageBits ? shortChanges : longChanges).push_back(normalized);
  }
  std::stable_sort(longChanges.begin(), longChanges.end(),
                   [](const BlockChange &a, const BlockChange &b) {
                     return a.Block.Address >> PageBits < b.Block.Address >> PageBits;
                   });

  auto next = std::make_shared<BlockTable>(*this);
  if (!shortChanges.empty()) {
    next->ShortPrefixes = withShortChanges(ShortPrefixes.get(), shortChanges);
    next->Count -= ShortPrefixes != nullptr ? ShortPrefixes->Blocks.size() : 0;
    next->Count += next->ShortPrefixes != nullptr ? next->ShortPrefixes->Blocks.size() : 0;
  }
  std::array<std::shared_ptr<Directory>, 256> copied;
  for (auto first = longChanges.begin(); first != longChanges.end();) {
    uint32_t number = first->Block.Address >> PageBits;
    auto last = std::find_if(first, longChanges.end(), [number](const BlockChange &change) {
      return change.Block.Address >> PageBits != number;
    });
    std::shared_ptr<Directory> &directory = copied[number >> 8];
    if (directory == nullptr) {
      const std::shared_ptr<const Directory> &old = Root[number >> 8];
      directory =
          old != nullptr ? std::make_shared<Directory>(*old) : std::make_shared<Directory>();
      next->Root[number >> 8] = directory;
    }
    PageSlot &slot = (*directory)[number & 0xFF];
    Page page = withPageChanges(slot, absl::MakeConstSpan(&*first, last - first));
    linkParents(page);
    next->Count = next->Count - slot.Count + page.size();
    slot = store(page);
    first = last;
  }
  return next;
}

bool BlockTable::covers(const Entry &entry, uint16_t low) {
  return (static_cast<uint32_t>(low ^ entry.Start) >> (32 - entry.Length)) == 0;
}

void BlockTable::linkParents(Page &page) {
  std::vector<uint32_t> ancestors;
  for (uint32_t n = 0; n < page.size(); ++n) {
    while (!ancestors.empty() && !covers(page[ancestors.back()], page[n].Start))
      ancestors.pop_back();
    page[n].Parent = ancestors.empty() ? NoParent : ancestors.back();
    ancestors.push_back(n);
  }
}

BlockTable::PageSlot BlockTable::store(const Page &page) {
  if (page.empty())
    return {};
  std::shared_ptr<Entry[]> entries(new Entry[page.size()]);
  std::copy(page.begin(), page.end(), entries.get());
  return {std::move(entries), static_cast<uint32_t>(page.size())};
}

absl::Span<const BlockTable::Entry> BlockTable::pageOf(uint32_t address) const {
  const Directory *directory = Root[address >> 24].get();
  if (directory == nullptr)
    return {};
  const PageSlot &slot = (*directory)[(address >> 16) & 0xFF];
  return {slot.Entries.get(), slot.Count};
}

SiteId BlockTable::find(uint32_t address) const {
  auto low = static_cast<uint16_t>(address);
  absl::Span<const Entry> page = pageOf(address);
  // Prefetch the cache lines of the block's position in an evenly filled page, so that the binary
  // search waits for one cache miss instead of one per probe.
  if (!page.empty()) {
    size_t guess = page.size() * low >> PageBits;
    __builtin_prefetch(&page[guess]);
    __builtin_prefetch(&page[std::min(guess + 8, page.size() - 1)]);
    __builtin_prefetch(&page[guess - std::min<size_t>(guess, 8)]);
  }
  auto after = std::upper_bound(page.begin(), page.end(), low,
                                [](uint16_t n, const Entry &entry) { return n < entry.Start; });
  // Blocks are nested or disjoint, so every block that contains the address is the last one that
  // starts at or before the address, or an ancestor of it.
  uint32_t n = after == page.begin() ? NoParent : static_cast<uint32_t>(after - page.begin()) - 1;
  for (; n != NoParent; n = page[n].Parent)
    if (covers(page[n], low))
      return {page[n].Site};
  return ShortPrefixes != nullptr ? SiteId{ShortPrefixes->SiteOfPage[address >> PageBits]}
                                  : SiteId{};
}

SiteId BlockTable::siteOf(const Prefix &block) const {
  if (block.Length < PageBits) {
    if (ShortPrefixes == nullptr)
      return {};
    auto it = ShortPrefixes->Blocks.find(block);
    return it != ShortPrefixes->Blocks.end() ? it->second : SiteId{};
  }
  absl::Span<const Entry> page = pageOf(block.Address);
  std::pair<uint16_t, uint8_t> key{static_cast<uint16_t>(block.Address), block.Length};
  auto it = std::lower_bound(page.begin(), page.end(), key, [](const Entry &entry, const auto &k) {
    return std::make_pair(entry.Start, static_cast<uint8_t>(entry.Length)) < k;
  });
  bool found = it != page.end() && it->Start == key.first && it->Length == key.second;
  return found ? SiteId{it->Site} : SiteId{};
}

size_t BlockTable::memoryBytes() const {
  size_t sum = sizeof(BlockTable);
  for (const auto &directory : Root) {
    if (directory == nullptr)
      continue;
    sum += sizeof(Directory) + HeaderBytes;
    for (const PageSlot &slot : *directory)
      if (slot.Count != 0)
        sum += PageOverheadBytes + slot.Count * sizeof(Entry);
  }
  if (ShortPrefixes != nullptr)
    sum += ShortPrefixes->SiteOfPage.size() * sizeof(uint16_t) + ShortPrefixes->Blocks.size() * 64;
  return sum;
}

} // namespace briarspar::placement
