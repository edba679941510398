#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace yuccashift {

/**
 * Event loops with one thread each. All handlers of a connection run on the loop
 * that it was created on, so connections need no strand. State that is shared
 * between loops needs its own synchronisation.
 */
class WorkerPool {
public:
    explicit WorkerPool(unsigned threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /** Selects the loop of a new connection, round-robin. */
    boost::asio::io_context& nextLoop();
    /** The loop that runs the timers and listeners. */
    boost::asio::io_context& primaryLoop();
    void start();
    /** Makes all loops return. Callable from any thread and from handlers of asio::signal_set. */
    void stop();
    /** Waits until all loop threads have ended. */
    void join();
    /** Destroys the pending handlers of all loops. Call after join() and before the loops are destroyed. */
    void destroyPendingHandlers();

private:
    /** Event loop that exposes shutdown(), so that its pending handlers can be destroyed while the other loops still exist. */
    struct Loop : boost::asio::io_context {
        Loop()
            : io_context(1)
        {
        }
        using execution_context::shutdown;
    };

    struct Worker {
        Loop io;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard { io.get_executor() };
        std::thread thread;
    };
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::atomic<std::size_t> m_next { 0 };
};

} // namespace yuccashift
