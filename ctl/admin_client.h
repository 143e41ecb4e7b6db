// Client of the administration API. It tries the instances in turn until one decides or the timeout has passed: after
// no answer, 503 (no leader, busy) or 504 (not decided in time) it tries the next one. Sending a change again is safe:
// for a change that was accepted before, the instances return the first result.
//
//     AdminClient client(options.instances, options.token, options.who, std::chrono::seconds(30));
//     AdminResponse response = client.call(AdminVerb::Post, "/v1/manifest", text);
//     if (response.status == 0)
//         std::cerr << response.body << "\n"; // no instance answered
#pragma once

#include "core/clock.h"
#include "net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace cicadaward {

enum class AdminVerb { Get, Post };

struct AdminResponse {
    std::string instance; // ip:port
    unsigned status = 0; // 0: no answer
    std::string body; // the reason of the failure when there is no answer
};

class AdminClient {
public:
    // `timeout` bounds all calls together.
    AdminClient(const std::vector<Endpoint>& instances, std::string token, std::string who, Duration timeout);

    AdminResponse call(AdminVerb verb, const std::string& target, const std::string& body = "");
    // Calls each instance once, all at the same time.
    std::vector<AdminResponse> callAll(const std::string& target);

    // Makes the instance with this name (ip:port) the first that is tried.
    void prefer(const std::string& instance);

    // Runs the event loop for `duration`, at most until the timeout. Returns false when the timeout has passed.
    bool pause(Duration duration);

private:
    struct Instance {
        std::string name;
        std::unique_ptr<HttpClient> client;
    };

    HttpClientRequest request(AdminVerb verb, const std::string& target, const std::string& body) const;
    void send(Instance& instance, HttpClientRequest request, Duration callTimeout, AdminResponse& response,
        size_t& openCalls);
    void runUntilDone(const size_t& openCalls);
    Duration remaining() const;

    SystemClock m_clock;
    boost::asio::io_context m_context;
    std::vector<Instance> m_instances;
    std::string m_token;
    std::string m_who;
    Time m_deadline;
    uint64_t m_lastCall = 0;
};

// Encodes a name for use in a path.
std::string percentEncode(const std::string& text);

} // namespace cicadaward
