// The disk duty of a control instance: writes batches to the store in order on its own thread, so that a slow or
// stalled disk delays neither the event loop nor the messages that do not depend on it.
//
//     DiskWriter writer(context, files, folder, options, [](uint64_t ticket) { ... }, [](absl::Status) { ... });
//     absl::StatusOr<StoreContents> contents = writer.open();
//     writer.write(ticket, batch); // `written` or `failed` follows on the loop's thread
//
// After a failure the store refuses everything; close() and open() start again from what is on the disk.
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
    using WrittenCallback = std::function<void(uint64_t ticket)>;
    using FailedCallback = std::function<void(const absl::Status&)>;

    DiskWriter(
        boost::asio::io_context&, FileSystem&, std::string folder, StoreOptions, WrittenCallback, FailedCallback);
    ~DiskWriter();
    DiskWriter(const DiskWriter&) = delete;
    DiskWriter& operator=(const DiskWriter&) = delete;

    // Opens the store and starts the thread. Blocks the caller; there is nothing to serve before.
    absl::StatusOr<StoreContents> open(InstanceId identity);
    // Ends the thread after the batch that it is writing and drops the rest.
    void close();
    // The queue is bounded by the consensus machine, which stops taking entries beyond its limit of uncommitted ones.
    void write(uint64_t ticket, StoreBatch batch);

private:
    struct Job {
        uint64_t ticket;
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
    std::unique_ptr<Store> m_store; // used by the thread alone while it runs
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Job> m_jobs;
    bool m_stopping = false;
    uint64_t m_generation = 0; // results of an earlier open() are dropped
};

} // namespace cicadaward
