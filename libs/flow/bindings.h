// Assigns numbers to pairs (member, target incarnation), so that a flow record stores its holder in two bytes. A pair
// is removed with its last reference, and its number is reused.
//
//     uint16_t number;
//     if (!bindings.findOrAdd(member, incarnation, number))
//         return; // all 65,534 numbers are in use
//     record.binding = number;
//     bindings.retain(number);
#pragma once

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <utility>
#include <vector>

namespace cicadaward::flow {

struct Binding {
    MemberId member;
    Incarnation incarnation;
    uint32_t references = 0; // by flow records and others
    uint32_t owned = 0; // of these, by flow records with role FlowRole::owned
};

class Bindings {
public:
    // Sets `number` to the number of the pair, which is added if it is new. Returns false if no number is free.
    bool findOrAdd(MemberId member, Incarnation incarnation, uint16_t& number);
    // Number 0 is reserved for no member.
    const Binding& at(uint16_t number) const { return m_bindings[number]; }

    void retain(uint16_t number) { ++m_bindings[number].references; }
    void release(uint16_t number);
    void retainOwned(uint16_t number) { ++m_bindings[number].owned; }
    void releaseOwned(uint16_t number) { --m_bindings[number].owned; }
    size_t size() const { return m_bindings.size(); }

private:
    std::vector<Binding> m_bindings { Binding {} };
    std::vector<uint16_t> m_free;
    absl::flat_hash_map<std::pair<MemberId, Incarnation>, uint16_t> m_numbers;
};

} // namespace cicadaward::flow
