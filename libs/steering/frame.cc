// Encoder and decoder of frames. Input comes from the network: the decoder checks every length and position.
#include "steering/frame.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    constexpr uint16_t frameMagic = 0xC1F1;
    constexpr size_t fixedHeaderBytes = 23;
    constexpr size_t endpointBytes = 6;
    constexpr uint8_t compareFlag = 1;
    constexpr uint8_t mayAcceptLaterFlag = 2;
    constexpr uint8_t uncertainFlag = 4;
    constexpr uint8_t mayNotTryFlag = 8;
    constexpr uint8_t outdatedFlag = 16;
    constexpr uint8_t loadIsTimeFlag = 32;

    uint8_t flagsOf(const Frame& frame)
    {
        bool loadIsTime = frame.loadIsTime && frame.shouldCompareLoad && frame.leastLoadedPosition != noPosition;
        unsigned compare = loadIsTime ? loadIsTimeFlag : compareFlag;
        unsigned flags = (frame.shouldCompareLoad ? compare : 0U) | (frame.mayAcceptLater ? mayAcceptLaterFlag : 0U)
            | (frame.isUncertain ? uncertainFlag : 0U) | (frame.mayTry ? 0U : mayNotTryFlag)
            | (frame.isOutdated ? outdatedFlag : 0U);
        return static_cast<uint8_t>(flags);
    }

    template <typename Integer> void appendBigEndian(std::vector<uint8_t>& out, Integer value)
    {
        for (int shift = 8 * (sizeof(Integer) - 1); shift >= 0; shift -= 8)
            out.push_back(static_cast<uint8_t>(value >> shift));
    }

    template <typename Integer> Integer readBigEndian(const uint8_t*& data)
    {
        Integer value = 0;
        for (size_t i = 0; i < sizeof(Integer); ++i)
            value = static_cast<Integer>((value << 8) | *data++);
        return value;
    }

    constexpr uint32_t stateAddressMask = 0xFF000000; // of an Endpoint::address; 0: the endpoint is a state index
    constexpr int stateAddressShift = 16; // bits of the index in the port

    Endpoint stateEndpoint(StateIndex state)
    {
        return { static_cast<uint32_t>(state.value() >> stateAddressShift), static_cast<uint16_t>(state.value()) };
    }

    bool isStateEndpoint(Endpoint endpoint) { return (endpoint.address & stateAddressMask) == 0; }

    StateIndex stateOf(Endpoint endpoint)
    {
        return StateIndex((uint64_t(endpoint.address) << stateAddressShift) | endpoint.port);
    }

    bool hasState(const Frame& frame)
    {
        bool mayHaveState = frame.kind == FrameKind::Offer || frame.kind == FrameKind::Returned;
        return mayHaveState && frame.state != StateIndex() && frame.state <= maxFrameStateIndex
            && frame.members.size() < maxFrameMembers;
    }

    // Removes the state index from the front of the members. Returns false when it is not where encodeFrame() puts it.
    bool takeState(Frame& frame)
    {
        frame.state = {};
        auto isState = [](Endpoint member) { return isStateEndpoint(member); };
        if (std::none_of(frame.members.begin(), frame.members.end(), isState))
            return true;
        bool isOffer = frame.kind == FrameKind::Offer || frame.kind == FrameKind::Returned;
        bool isOnlyFirst
            = isState(frame.members[0]) && std::none_of(frame.members.begin() + 1, frame.members.end(), isState);
        if (!isOffer || !isOnlyFirst || frame.nextPosition == 0 || frame.leastLoadedPosition == 0)
            return false;
        frame.state = stateOf(frame.members[0]);
        frame.members.erase(frame.members.begin());
        --frame.nextPosition;
        if (frame.leastLoadedPosition != noPosition)
            --frame.leastLoadedPosition;
        return frame.state != StateIndex();
    }

    void appendEndpoint(std::vector<uint8_t>& out, Endpoint endpoint)
    {
        appendBigEndian(out, endpoint.address);
        appendBigEndian(out, endpoint.port);
    }

    Endpoint readEndpoint(const uint8_t*& data)
    {
        Endpoint endpoint;
        endpoint.address = readBigEndian<uint32_t>(data);
        endpoint.port = readBigEndian<uint16_t>(data);
        return endpoint;
    }

} // namespace

void encodeFrame(const Frame& frame, const uint8_t* packet, size_t packetSize, std::vector<uint8_t>& out)
{
    out.clear();
    out.reserve(fixedHeaderBytes + endpointBytes * (frame.members.size() + 1) + packetSize);
    appendBigEndian(out, frameMagic);
    appendBigEndian(out, static_cast<uint8_t>(frame.kind));
    appendBigEndian(out, flagsOf(frame));
    uint8_t added = hasState(frame) ? 1 : 0;
    bool hasLeastLoaded = frame.leastLoadedPosition != noPosition;
    appendBigEndian(out, static_cast<uint8_t>(frame.nextPosition + added));
    appendBigEndian(out, static_cast<uint8_t>(frame.leastLoadedPosition + (hasLeastLoaded ? added : 0)));
    appendBigEndian(out, frame.lowestLoad);
    appendBigEndian(out, frame.service.value());
    appendEndpoint(out, frame.entry);
    appendBigEndian(out, static_cast<uint8_t>(frame.members.size() + added));
    if (added != 0)
        appendEndpoint(out, stateEndpoint(frame.state));
    for (Endpoint member : frame.members)
        appendEndpoint(out, member);
    out.insert(out.end(), packet, packet + packetSize);
}

std::optional<size_t> decodeFrame(const uint8_t* data, size_t size, Frame& frame)
{
    if (size < fixedHeaderBytes)
        return std::nullopt;
    const uint8_t* at = data;
    if (readBigEndian<uint16_t>(at) != frameMagic)
        return std::nullopt;
    auto kind = readBigEndian<uint8_t>(at);
    if (kind < static_cast<uint8_t>(FrameKind::Offer) || kind > static_cast<uint8_t>(FrameKind::FanOut))
        return std::nullopt;
    frame.kind = static_cast<FrameKind>(kind);
    auto flags = readBigEndian<uint8_t>(at);
    frame.loadIsTime = (flags & loadIsTimeFlag) != 0;
    frame.shouldCompareLoad = frame.loadIsTime || (flags & compareFlag) != 0;
    frame.mayAcceptLater = (flags & mayAcceptLaterFlag) != 0;
    frame.isUncertain = (flags & uncertainFlag) != 0;
    frame.mayTry = (flags & mayNotTryFlag) == 0;
    frame.isOutdated = (flags & outdatedFlag) != 0;
    frame.nextPosition = readBigEndian<uint8_t>(at);
    frame.leastLoadedPosition = readBigEndian<uint8_t>(at);
    frame.lowestLoad = readBigEndian<uint16_t>(at);
    frame.service = ServiceKey(readBigEndian<uint64_t>(at));
    frame.entry = readEndpoint(at);
    size_t count = readBigEndian<uint8_t>(at);
    if (count > maxFrameMembers || size < fixedHeaderBytes + endpointBytes * count || frame.nextPosition > count
        || (frame.leastLoadedPosition == noPosition && frame.loadIsTime)
        || (frame.leastLoadedPosition != noPosition && frame.leastLoadedPosition >= count))
        return std::nullopt;
    frame.members.clear();
    for (size_t i = 0; i < count; ++i)
        frame.members.push_back(readEndpoint(at));
    if (!takeState(frame))
        return std::nullopt;
    return static_cast<size_t>(at - data);
}

void encodeFlow(const FlowId& flow, std::vector<uint8_t>& out)
{
    appendEndpoint(out, flow.caller);
    appendEndpoint(out, flow.service);
}

std::optional<FlowId> decodeFlow(const uint8_t* data, size_t size)
{
    if (size != 2 * endpointBytes)
        return std::nullopt;
    FlowId flow;
    flow.caller = readEndpoint(data);
    flow.service = readEndpoint(data);
    return flow;
}

} // namespace cicadaward::steering
