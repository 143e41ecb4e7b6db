#include "control/messages.h"

namespace cicadaward::control {

namespace detail {

    template <size_t Index = 0> bool decodeVariant(size_t type, const std::string& body, InstanceMessage& message)
    {
        if constexpr (Index < std::variant_size_v<InstanceMessage>) {
            if (type != Index)
                return decodeVariant<Index + 1>(type, body, message);
            std::variant_alternative_t<Index, InstanceMessage> value;
            if (!decodeMessage(body, value))
                return false;
            message = std::move(value);
            return true;
        }
        return false;
    }

} // namespace detail

std::string encodeInstanceMessage(const InstanceMessage& message)
{
    std::string bytes(1, static_cast<char>(message.index()));
    bytes += std::visit([](const auto& value) { return encodeMessage(value); }, message);
    return bytes;
}

bool decodeInstanceMessage(const std::string& bytes, InstanceMessage& message)
{
    if (bytes.empty())
        return false;
    return detail::decodeVariant(static_cast<unsigned char>(bytes[0]), bytes.substr(1), message);
}

} // namespace cicadaward::control
