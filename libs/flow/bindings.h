// Numbers the pairs (member, target incarnation) that flow records name, so that a record needs two bytes for its
// holder. A pair without records is forgotten and its number is used again.
//
//     uint16_t number;
//     if (!bindings.findOrAdd(member, incarnation, number))
//         return; // more than 65,534 pairs have flows
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
    uint32_t references = 0; // records that name it
    uint32_t owned = 0; // of these, records with role Owned
};

class Bindings {
public:
    bool findOrAdd(MemberId member, Incarnation incarnation, uint16_t& number);
    // Number 0 is reserved and names nobody.
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
