// Callers of requests: each request opens a connection through the fabric, sends one HTTP request with an id and checks
// the answer. A request without an answer is sent again with the same id over a new connection.
//
// The final word on each request is one of: answered (whole, and its own), not run, unknown, lost (no word at all).
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "net/tcp_endpoint.h"

#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cicadaward {

struct RequestOptions {
    uint32_t serviceAddress = 0;
    uint16_t servicePort = 0;
    std::string serviceName;
    double perSecond = 0;
    double repeatableShare = 0.3;
    std::chrono::milliseconds timeout { 3000 }; // of one attempt; also sent as Request-Timeout-Ms
    uint32_t maxAttempts = 4;
};

enum class RequestWord : uint8_t {
    None,
    Answered,
    NotRun,
    Unknown,
    Lost,
};

struct RequestRecord {
    bool repeatable = false;
    RequestWord word = RequestWord::None;
    uint32_t attempts = 0;
    uint32_t toldNotRun = 0; // attempts that were answered "not run"
    std::chrono::milliseconds latency { 0 }; // of the whole request
    int64_t startedAt = 0; // ms since the start of the run
};

struct RequestCounts {
    uint64_t sent = 0;
    uint64_t answered = 0;
    uint64_t notRun = 0;
    uint64_t unknown = 0;
    uint64_t lost = 0;
    uint64_t foreignAnswers = 0;
    uint64_t badAnswers = 0; // partial or malformed
    uint64_t resent = 0;
};

class RequestCallers {
public:
    RequestCallers(const Clock&, Random&, RequestOptions, TcpEndpoint&, std::vector<uint32_t> callerAddresses);
    ~RequestCallers();

    void tick(); // every 10 ms: starts requests, ends attempts that are past their time
    void stopSending() { m_stopped = true; }
    size_t openRequests() const { return m_open.size(); }

    bool owns(ConnectionId id) const { return m_byConnection.count(id.value()) > 0; }
    void handle(const TcpEvent&);

    const RequestCounts& counts() const { return m_counts; }
    const std::map<std::string, RequestRecord>& records() const { return m_records; }

private:
    struct Attempt;

    void start();
    void connect(const std::shared_ptr<Attempt>&);
    void sendRequest(Attempt&);
    void receive(const std::shared_ptr<Attempt>&, const std::string& data);
    void classify(const std::shared_ptr<Attempt>&);
    void failAttempt(const std::shared_ptr<Attempt>&);
    void finish(Attempt&, RequestWord);
    std::string makeId();

    const Clock& m_clock;
    Random& m_random;
    RequestOptions m_options;
    TcpEndpoint& m_endpoint;
    std::vector<uint32_t> m_addresses;
    Time m_start;
    Time m_lastTick;
    double m_due = 0;
    bool m_stopped = false;
    std::map<uint64_t, std::shared_ptr<Attempt>> m_byConnection;
    std::map<std::string, std::shared_ptr<Attempt>> m_open; // by id
    std::map<std::string, RequestRecord> m_records;
    RequestCounts m_counts;
};

} // namespace cicadaward
