// The records of agents' flows at a control instance with a disk: keeps the newest report of each agent, returns it to
// the agent that asks for it, and provides the content of the file to write. It takes no part in the replicated state
// and needs neither a leader nor a quorum.
//
//     FlowRecords records(options, clock);
//     absl::Status status = records.load(content); // of the file, when there is one
//     if (std::optional<Envelope> answer = records.onMessage(sender, envelope))
//         send(sender, *answer);
//     if (records.isWriteDue())
//         write(records.takeFile()); // the file is replaced as a whole
//
// A report is acknowledged when it is in memory and queued for the disk, so a loss of power loses the reports of the
// last write interval.
//
// Bounds: `maxAgents` records and `maxBytes` of all in the file; a report beyond them is refused. A record whose agent
// has been silent for `recordLifetime` is dropped.
#pragma once

#include "cluster/messages.h"
#include "core/clock.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <map>
#include <optional>
#include <string>

namespace cicadaward::cluster {

struct FlowRecordOptions {
    std::string dataCentre; // of this instance
    size_t maxAgents = 4096;
    size_t maxBytes = 16 << 20;
    Duration writeInterval = std::chrono::seconds(1);
    // A large file is written less often, so that the writes take at most this from the disk.
    size_t maxWrittenBytesPerSecond = 4 << 20;
    Duration recordLifetime = std::chrono::minutes(30); // agents report every 10 s
};

class FlowRecords {
public:
    FlowRecords(FlowRecordOptions, const Clock&);

    // Takes over the content of the file. DataLoss when it is damaged; then there are no records.
    absl::Status load(const std::string& file);
    // Returns the answer to a FlowReport or FlowsRequest; nothing for other and for damaged messages.
    std::optional<Envelope> onMessage(Endpoint sender, const Envelope&);

    // True when records have changed and the last file is at least the write interval old.
    bool isWriteDue();
    // Returns the content of the file. Call onWriteFailed() when it could not be written.
    std::string takeFile();
    void onWriteFailed() { m_isChanged = true; }

    size_t agentCount() const { return m_records.size(); }
    size_t flowCount() const { return m_flowCount; }
    size_t bytes() const { return m_bytes; } // of all records in the file
    uint64_t refusedCount() const { return m_refusedCount; }

private:
    struct Record {
        steering::FlowReport head; // without flows
        absl::flat_hash_map<steering::FlowId, uint32_t> flows; // acknowledgement numbers
        Time lastReport;

        size_t bytes() const;
    };

    steering::FlowReportAck onReport(Endpoint sender, const steering::FlowReport&);
    steering::FlowsReply onRequest(Endpoint sender, const steering::FlowsRequest&) const;
    steering::FlowReportResult apply(const steering::FlowReport&);
    bool isWithinLimits(const steering::FlowReport&, const Record* known) const;
    void subtract(const Record&); // from the totals
    void erase(Endpoint agent);
    void expire();
    static steering::FlowReport contentOf(const Record&);

    const FlowRecordOptions m_options;
    const Clock& m_clock;
    std::map<Endpoint, Record> m_records; // by agent
    size_t m_flowCount = 0;
    size_t m_bytes = 0;
    uint64_t m_refusedCount = 0;
    bool m_isChanged = false;
    Time m_nextWrite;
    Time m_nextExpiry;
};

} // namespace cicadaward::cluster
