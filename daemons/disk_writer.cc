#include "disk_writer.h"

#include <boost/asio/post.hpp>
#include <random>

namespace cicadaward {

DiskWriter::DiskWriter(boost::asio::io_context& context, FileSystem& files, std::string folder, StoreOptions options,
    WrittenCallback onWritten, FailedCallback onFailed)
    : m_context(context)
    , m_files(files)
    , m_folder(std::move(folder))
    , m_options(options)
    , m_onWritten(std::move(onWritten))
    , m_onFailed(std::move(onFailed))
    , m_random((uint64_t(std::random_device()()) << 32) | std::random_device()())
{
}

DiskWriter::~DiskWriter() { close(); }

absl::StatusOr<StoreContents> DiskWriter::open(InstanceId instanceId)
{
    close();
    StoreOptions options = m_options;
    options.instanceId = instanceId;
    absl::StatusOr<std::unique_ptr<Store>> store = Store::open(m_files, m_folder, m_random, options);
    if (!store.ok())
        return store.status();
    m_store = std::move(*store);
    m_stopping = false;
    ++m_generation;
    m_thread = std::thread([this] { run(); });
    return m_store->takeContents();
}

void DiskWriter::close()
{
    if (m_thread.joinable()) {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_stopping = true;
            m_jobs.clear();
        }
        m_wake.notify_one();
        m_thread.join();
    }
    m_store.reset();
}

void DiskWriter::write(uint64_t batchNumber, StoreBatch batch)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_jobs.push_back({ batchNumber, std::move(batch) });
    }
    m_wake.notify_one();
}

void DiskWriter::run()
{
    uint64_t generation = m_generation;
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        if (m_stopping)
            return;
        Job job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        absl::Status status = m_store->write(job.batch);
        boost::asio::post(m_context, [this, generation, status, batchNumber = job.batchNumber] {
            if (generation != m_generation)
                return;
            if (status.ok())
                m_onWritten(batchNumber);
            else
                m_onFailed(status);
        });
        lock.lock();
        if (!status.ok())
            return;
    }
}

} // namespace cicadaward
