#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace yuccashift {

/**
 * Event loops, one thread each. What is created on one loop stays there, so
 * connections need no strand; state that loops share has locks of its own.
 */
class WorkerPool {
public:
    explicit WorkerPool(unsigned threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /** A loop for a new connection, in rotation. */
    boost::asio::io_context& nextLoop();
    /** The loop of timers and listeners. */
    boost::asio::io_context& primaryLoop();
    void start();
    /** Ends all loops; callable from any thread and from signal handlers of Asio. */
    void stop();
    /** Waits until all loops have ended. */
    void join();
    /** Destroys what still waits on any loop; to be called after join() and before the loops go. */
    void destroyPendingHandlers();

private:
    /** A loop whose waiting handlers can be destroyed while the other loops still exist. */
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
