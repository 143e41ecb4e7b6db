#include "flow/flow_table.h"

#include <algorithm>

namespace cicadaward::flow {

namespace detail {

    constexpr size_t minSlots = 64;

} // namespace detail

FlowTable::FlowTable(size_t budgetBytes)
    : m_slots(std::clamp<size_t>(budgetBytes / sizeof(FlowRecord), detail::minSlots, UINT32_MAX))
{
}

FlowRecord* FlowTable::find(const FlowKey& key, uint64_t hash)
{
    for (size_t i = homeSlot(hash); m_slots[i].roles != 0; i = nextSlot(i)) {
        if (m_slots[i].key == key)
            return &m_slots[i];
    }
    return nullptr;
}

FlowRecord* FlowTable::insert(const FlowKey& key, uint64_t hash, Purpose purpose)
{
    size_t limit = purpose == Purpose::NewFlow ? newFlowCapacity() : m_slots.size() / 8 * 7;
    if (m_size >= limit)
        return nullptr;
    size_t i = homeSlot(hash);
    while (m_slots[i].roles != 0)
        i = nextSlot(i);
    ++m_size;
    m_slots[i] = FlowRecord {};
    m_slots[i].key = key;
    return &m_slots[i];
}

void FlowTable::erase(FlowRecord* record)
{
    size_t hole = static_cast<size_t>(record - m_slots.data());
    size_t count = m_slots.size();
    for (size_t i = nextSlot(hole); m_slots[i].roles != 0; i = nextSlot(i)) {
        // A record may move back to the hole unless its home slot lies cyclically after the hole.
        size_t distanceFromHome = (i + count - homeSlot(m_slots[i].key.hash())) % count;
        size_t distanceFromHole = (i + count - hole) % count;
        if (distanceFromHome >= distanceFromHole) {
            m_slots[hole] = m_slots[i];
            hole = i;
        }
    }
    m_slots[hole].roles = 0;
    --m_size;
}

} // namespace cicadaward::flow
