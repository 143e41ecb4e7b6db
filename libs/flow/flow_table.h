// The flows that one agent knows: held by its target, in its buckets, or copied as a backup. Open addressing with
// linear probing and deletion by backward shift: no tombstones, so look-ups stay short after millions of closes, and no
// allocation after construction.
//
//     FlowTable table(4 << 20); // bytes
//     FlowRecord* record = table.find(key, key.hash());
//     if (!record)
//         record = table.insert(key, key.hash(), FlowTable::Purpose::NewFlow); // null when full
//
// A full table refuses; it never evicts. New flows may use 3/4 of the slots and flows learned from other members 7/8,
// so that a take-over finds room when new flows have already been refused. Pointers are valid until insert() or
// erase().
#pragma once

#include "packet/flow_key.h"

#include <cstddef>
#include <vector>

namespace cicadaward::flow {

struct FlowRole {
    static constexpr uint8_t held = 1; // its target is the local one
    static constexpr uint8_t owned = 2; // its bucket is settled or being taken over here
    static constexpr uint8_t backup = 4; // copy of another owner's record
    // State of an owned record, beside the roles to save memory.
    static constexpr uint8_t opening = 8; // the holder has not confirmed it
    static constexpr uint8_t triesShift = 4; // placements tried, 2 bits
    static constexpr uint8_t triesMask = 0x30;
};

struct FlowFlag {
    static constexpr uint8_t callerFin = 1;
    static constexpr uint8_t targetFin = 2;
    static constexpr uint8_t callerReset = 4;
    static constexpr uint8_t answered = 8; // the target has answered the first packet
    static constexpr uint8_t established = 16; // the caller has sent more than its first packet
    static constexpr uint8_t request = 32; // PortMode::Request
    static constexpr uint8_t unverified = 128; // taken back from a copy; the target has not confirmed it
    static constexpr uint8_t refusing = 64; // the endpoint answers with 503; not counted at the target
};

struct FlowRecord {
    FlowKey key;
    uint32_t lastActivityMs = 0; // milliseconds, wraps; last packet if held, else last confirmation by the holder
    uint32_t initialSequence = 0; // of the segment that opened it, see FlowId; 0 when unknown
    // Held: the target's next sequence number, for the reset that ends the flow. Else: number of the last
    // OpenFlow sent for it, see FlowId::question.
    uint32_t sequenceOrOpenNumber = 0;
    uint16_t binding = 0; // holder and incarnation, see Bindings
    uint8_t roles = 0; // FlowRole; 0 marks an empty slot
    uint8_t flags = 0; // FlowFlag

    bool hasRole(uint8_t role) const { return (roles & role) != 0; }
    bool hasFlag(uint8_t flag) const { return (flags & flag) != 0; }
};
static_assert(sizeof(FlowRecord) == 32, "the budget of 64 bytes for each flow counts on this");

class FlowTable {
public:
    enum class Purpose : uint8_t {
        NewFlow,
        Learned,
    };

    explicit FlowTable(size_t budgetBytes);

    FlowRecord* find(const FlowKey& key, uint64_t hash);
    // `key` must not be present. The record has the key and nothing else; the caller sets `roles` before any other
    // call.
    FlowRecord* insert(const FlowKey& key, uint64_t hash, Purpose purpose);
    void erase(FlowRecord* record);

    size_t size() const { return m_size; }
    size_t slotCount() const { return m_slots.size(); }
    size_t bytes() const { return m_slots.size() * sizeof(FlowRecord); }
    size_t newFlowCapacity() const { return m_slots.size() / 4 * 3; }
    // Null when the slot is empty. An erase() may move a later record to this index.
    FlowRecord* at(size_t index) { return m_slots[index].roles == 0 ? nullptr : &m_slots[index]; }

private:
    // The low bits of the hash choose the bucket, so all flows of one owner share some of them; the high bits do not.
    size_t homeSlot(uint64_t hash) const { return static_cast<size_t>((hash >> 32) * m_slots.size() >> 32); }
    size_t nextSlot(size_t index) const { return index + 1 == m_slots.size() ? 0 : index + 1; }

    std::vector<FlowRecord> m_slots;
    size_t m_size = 0;
};

} // namespace cicadaward::flow
