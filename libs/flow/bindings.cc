#include "flow/bindings.h"

namespace cicadaward::flow {

bool Bindings::findOrAdd(MemberId member, Incarnation incarnation, uint16_t& number)
{
    auto [found, inserted] = m_numbers.try_emplace({ member, incarnation }, 0);
    if (inserted) {
        if (!m_free.empty()) {
            found->second = m_free.back();
            m_free.pop_back();
            m_bindings[found->second] = { member, incarnation };
        } else if (m_bindings.size() < UINT16_MAX) {
            found->second = static_cast<uint16_t>(m_bindings.size());
            m_bindings.push_back({ member, incarnation });
        } else {
            m_numbers.erase(found);
            return false;
        }
    }
    number = found->second;
    return true;
}

void Bindings::release(uint16_t number)
{
    Binding& binding = m_bindings[number];
    if (--binding.references > 0)
        return;
    m_numbers.erase({ binding.member, binding.incarnation });
    m_free.push_back(number);
}

} // namespace cicadaward::flow
