#include "yuccashift/kernel/worker_pool.hpp"

namespace yuccashift {

WorkerPool::WorkerPool(unsigned threads)
{
    for (unsigned n = 0; n < threads; ++n)
        m_workers.push_back(std::make_unique<Worker>());
}

WorkerPool::~WorkerPool()
{
    stop();
    join();
    destroyPendingHandlers();
}

boost::asio::io_context& WorkerPool::nextLoop()
{
    return m_workers[m_next++ % m_workers.size()]->io;
}

boost::asio::io_context& WorkerPool::primaryLoop()
{
    return m_workers.front()->io;
}

void WorkerPool::start()
{
    for (auto& worker : m_workers)
        worker->thread = std::thread([&io = worker->io] { io.run(); });
}

void WorkerPool::stop()
{
    for (auto& worker : m_workers)
        worker->io.stop();
}

// A suspended coroutine on one loop may own connections of another loop, so the
// handlers of all loops must be destroyed before any loop is.
void WorkerPool::destroyPendingHandlers()
{
    for (auto& worker : m_workers)
        worker->io.shutdown();
}

void WorkerPool::join()
{
    for (auto& worker : m_workers) {
        if (worker->thread.joinable())
            worker->thread.join();
    }
}

} // namespace yuccashift
