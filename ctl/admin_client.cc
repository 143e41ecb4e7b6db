#include "admin_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace cicadaward {

namespace detail {

    // Longer than the 5 s after which an instance gives up on a change, so that its answer arrives.
    constexpr Duration changeTimeout = std::chrono::seconds(6);
    constexpr Duration readTimeout = std::chrono::seconds(2);
    constexpr Duration retryInterval = std::chrono::milliseconds(200);

    const char* describeFailure(HttpFailure failure)
    {
        static const char* const texts[] = { "connection refused", "not connected", "connection broken", "no answer" };
        return texts[static_cast<size_t>(failure)];
    }

} // namespace detail

AdminClient::AdminClient(const std::vector<Endpoint>& instances, std::string token, std::string who, Duration timeout)
    : m_token(std::move(token))
    , m_who(std::move(who))
    , m_deadline(m_clock.now() + timeout)
{
    for (const Endpoint& endpoint : instances) {
        m_instances.push_back({ formatAddress(endpoint.address) + ":" + std::to_string(endpoint.port),
            std::make_unique<HttpClient>(m_context, endpoint, 1) });
    }
}

Duration AdminClient::remaining() const { return std::max(m_deadline - m_clock.now(), Duration(0)); }

HttpClientRequest AdminClient::request(AdminVerb verb, const std::string& target, const std::string& body) const
{
    namespace http = boost::beast::http;
    HttpClientRequest request(verb == AdminVerb::Get ? http::verb::get : http::verb::post, target, 11);
    request.set(http::field::host, "control");
    request.set(http::field::authorization, "Bearer " + m_token);
    if (!m_who.empty())
        request.set("Operator", m_who);
    if (verb == AdminVerb::Post)
        request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    return request;
}

void AdminClient::send(
    Instance& instance, HttpClientRequest request, Duration callTimeout, AdminResponse& response, size_t& openCalls)
{
    ++openCalls;
    response.instance = instance.name;
    instance.client->send(
        ++m_lastCall, std::move(request), callTimeout, [&response, &openCalls](uint64_t, HttpResult result) {
            --openCalls;
            if (auto* answer = std::get_if<HttpClientResponse>(&result)) {
                response.status = answer->result_int();
                response.body = std::move(answer->body());
            } else
                response.body = detail::describeFailure(std::get<HttpFailure>(result));
        });
}

// Returns, because each call has a timeout.
void AdminClient::runUntilDone(const size_t& openCalls)
{
    m_context.restart();
    while (openCalls > 0 && m_context.run_one() > 0) { }
}

AdminResponse AdminClient::call(AdminVerb verb, const std::string& target, const std::string& body)
{
    Duration callTimeout = verb == AdminVerb::Get ? detail::readTimeout : detail::changeTimeout;
    AdminResponse last;
    do {
        for (Instance& instance : m_instances) {
            Duration remainingTime = remaining();
            if (remainingTime == Duration(0))
                return last;
            AdminResponse response;
            size_t openCalls = 0;
            send(instance, request(verb, target, body), std::min(callTimeout, remainingTime), response, openCalls);
            runUntilDone(openCalls);
            if (response.status != 0 && response.status != 503 && response.status != 504)
                return response;
            // Prefer the response of an instance that says why it cannot decide to that of one that does not answer.
            if (response.status != 0 || last.status == 0)
                last = response;
        }
    } while (pause(detail::retryInterval));
    return last;
}

std::vector<AdminResponse> AdminClient::callAll(const std::string& target)
{
    std::vector<AdminResponse> responses(m_instances.size());
    size_t openCalls = 0;
    Duration callTimeout = std::max<Duration>(std::min(detail::readTimeout, remaining()), std::chrono::milliseconds(1));
    for (size_t i = 0; i < m_instances.size(); ++i)
        send(m_instances[i], request(AdminVerb::Get, target, ""), callTimeout, responses[i], openCalls);
    runUntilDone(openCalls);
    return responses;
}

void AdminClient::prefer(const std::string& instance)
{
    std::stable_partition(
        m_instances.begin(), m_instances.end(), [&](const Instance& candidate) { return candidate.name == instance; });
}

bool AdminClient::pause(Duration duration)
{
    boost::asio::steady_timer timer(m_context, std::min(duration, remaining()));
    bool hasExpired = false;
    timer.async_wait([&](boost::system::error_code) { hasExpired = true; });
    m_context.restart();
    while (!hasExpired && m_context.run_one() > 0) { }
    return remaining() > Duration(0);
}

std::string percentEncode(const std::string& text)
{
    static const char digits[] = "0123456789ABCDEF";
    std::string result;
    for (char c : text) {
        auto byte = static_cast<unsigned char>(c);
        bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.' || c == '~';
        if (plain) {
            result += c;
            continue;
        }
        result += '%';
        result += digits[byte >> 4];
        result += digits[byte & 15];
    }
    return result;
}

} // namespace cicadaward
