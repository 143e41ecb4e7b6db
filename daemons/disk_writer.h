// Writes the batches of a control instance to the store, in order and on a thread of its own, so that a slow or stalled
// disk delays neither the event loop nor the messages that do not depend on a write.
//
//     DiskWriter writer(context, files, folder, options, [](uint64_t ticket) { ... }, [](absl::Status) { ... });
//     absl::StatusOr<StoreContents> contents = writer.open(identity);
//     writer.write(ticket, batch); // `onWritten` or `onFailed` is called on the thread of the event loop
//
// After a failed write nothing more is written; open() starts again from what is on the disk.
#pragma once

#include "core/random.h"
#include "store/store.h"

#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace cicadaward {

class DiskWriter {
public:
    using WrittenCallback = std::function<void(uint64_t batchNumber)>;
    using FailedCallback = std::function<void(const absl::Status&)>;

    DiskWriter(
        boost::asio::io_context&, FileSystem&, std::string folder, StoreOptions, WrittenCallback, FailedCallback);
    ~DiskWriter();
    DiskWriter(const DiskWriter&) = delete;
    DiskWriter& operator=(const DiskWriter&) = delete;

    // Opens the store and starts the thread; closes an open store first. Blocks the caller, which has nothing to serve
    // before the store is open.
    absl::StatusOr<StoreContents> open(InstanceId instanceId);
    // Ends the thread after the batch that it is writing and discards the queued ones.
    void close();
    // Queues a batch. Raft bounds the queue: it accepts no entries beyond its limit of uncommitted ones.
    void write(uint64_t batchNumber, StoreBatch batch);

private:
    struct Job {
        uint64_t batchNumber;
        StoreBatch batch;
    };
    void run();

    boost::asio::io_context& m_context;
    FileSystem& m_files;
    const std::string m_folder;
    const StoreOptions m_options;
    WrittenCallback m_onWritten;
    FailedCallback m_onFailed;
    Random m_random;
    std::unique_ptr<Store> m_store; // used only by m_thread while it runs
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Job> m_jobs;
    bool m_stopping = false;
    uint64_t m_generation = 0; // number of open() calls; results of an earlier one are discarded
};

} // namespace cicadaward
