// Hash table of the flows that one agent knows: those its target holds, those of its buckets, and backup copies. Open
// addressing with linear probing and backward-shift deletion: there are no tombstones, so look-ups stay short after
// millions of closed flows, and no allocations after construction.
//
//     FlowTable table(4 << 20); // bytes
//     FlowRecord* record = table.find(key, key.hash());
//     if (!record)
//         record = table.insert(key, key.hash(), FlowTable::Purpose::NewFlow); // null when full
//
// A full table refuses insertions and never evicts. New flows may use 3/4 of the slots, and flows reported by other
// members 7/8, so that a take-over finds room even when new flows are already refused. Pointers are valid until the
// next insert() or erase().
#pragma once

#include "packet/flow_key.h"

#include <cstddef>
#include <vector>

namespace cicadaward::flow {

struct FlowRole {
    static constexpr uint8_t held = 1; // the local target has the connection
    static constexpr uint8_t owned = 2; // this agent owns the bucket of the flow
    static constexpr uint8_t backup = 4; // copy of another owner's record
    // State of an owned record, in the same byte as the roles to save memory.
    static constexpr uint8_t opening = 8; // the holder has not confirmed the flow
    static constexpr uint8_t triesShift = 4; // number of placement attempts so far, 2 bits
    static constexpr uint8_t triesMask = 0x30;
};

struct FlowFlag {
    static constexpr uint8_t callerFin = 1;
    static constexpr uint8_t targetFin = 2;
    static constexpr uint8_t callerReset = 4;
    static constexpr uint8_t answered = 8; // the target has answered the first packet
    static constexpr uint8_t established = 16; // the caller has sent more than its first packet
    static constexpr uint8_t requestMode = 32; // PortMode::Request
    static constexpr uint8_t unverified = 128; // restored from a copy; the target has not confirmed it
    static constexpr uint8_t refusing = 64; // the endpoint answers with 503; not counted in the admission limit
};

struct FlowRecord {
    FlowKey key;
    uint32_t lastActivityMs = 0; // wraps; time of the last packet if held, else of the last confirmation by the holder
    uint32_t initialSequence = 0; // see FlowId; 0 when unknown
    // If held, the target's next sequence number, for the reset that ends the flow. Else the number of the last
    // OpenFlow sent for the flow, see FlowId::openNumber.
    uint32_t sequenceOrOpenNumber = 0;
    uint16_t binding = 0; // number of (holder, target incarnation) in Bindings
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
    // Returns null when the table is full for this purpose. `key` must not be present. Only the key of the record is
    // set; set `roles` before any other call, because a slot without roles counts as empty.
    FlowRecord* insert(const FlowKey& key, uint64_t hash, Purpose purpose);
    void erase(FlowRecord* record);

    size_t size() const { return m_size; }
    size_t slotCount() const { return m_slots.size(); }
    size_t bytes() const { return m_slots.size() * sizeof(FlowRecord); }
    size_t newFlowCapacity() const { return m_slots.size() / 4 * 3; }
    // Null when the slot is empty. An erase() may move a later record to this index.
    FlowRecord* at(size_t index) { return m_slots[index].roles == 0 ? nullptr : &m_slots[index]; }

private:
    // Uses the high bits of the hash. The low bits select the bucket, so they are not evenly distributed among the
    // flows of one owner.
    size_t homeSlot(uint64_t hash) const { return static_cast<size_t>((hash >> 32) * m_slots.size() >> 32); }
    size_t nextSlot(size_t index) const { return index + 1 == m_slots.size() ? 0 : index + 1; }

    std::vector<FlowRecord> m_slots;
    size_t m_size = 0;
};

} // namespace cicadaward::flow
