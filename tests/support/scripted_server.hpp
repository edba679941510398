#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <list>
#include <thread>

namespace yuccashift::fakes {

/** One connection of a ScriptedServer, with blocking calls. */
class ScriptedConnection {
public:
    using Socket = boost::asio::ip::tcp::socket;

    ScriptedConnection(Socket& socket, int number)
        : m_socket(socket)
        , m_number(number)
    {
    }

    /** Number of the connection, counted from 1 in the order of acceptance. */
    int number() const { return m_number; }

    /** Reads one request without a body; returns false if the peer closed the connection. */
    bool readRequest()
    {
        boost::system::error_code ec;
        const auto size = boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(m_received), "\r\n\r\n", ec);
        m_head = m_received.substr(0, size);
        m_received.erase(0, size);
        return !ec;
    }

    /** Request line and header of the request that was read last. */
    const std::string& head() const { return m_head; }

    void write(std::string_view text)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(text), ec);
    }

    /** Writes the text again and again until the peer closes the connection. */
    void writeWithoutEnd(const std::string& text)
    {
        boost::system::error_code ec;
        while (!ec)
            boost::asio::write(m_socket, boost::asio::buffer(text), ec);
    }

    /** Resets the connection, whatever the peer is still writing. */
    void reset()
    {
        boost::system::error_code ec;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        m_socket.close(ec);
    }

    /** Ends the sending side and leaves the other open. */
    void endSending()
    {
        boost::system::error_code ec;
        m_socket.shutdown(Socket::shutdown_send, ec);
    }

    /** Reads and discards bytes, without answering, until the peer closes the connection. */
    void swallow()
    {
        boost::system::error_code ec;
        std::array<char, 1024> buffer {};
        while (!ec)
            m_socket.read_some(boost::asio::buffer(buffer), ec);
    }

private:
    Socket& m_socket;
    int m_number;
    std::string m_received;
    std::string m_head;
};

/** TCP server that runs a script for each connection on a separate thread and closes the connection afterwards. */
class ScriptedServer {
public:
    using Script = std::function<void(ScriptedConnection&)>;

    explicit ScriptedServer(Script script)
        : m_script(std::move(script))
        , m_acceptor(m_io, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_thread([this] { acceptAll(); })
    {
    }

    ~ScriptedServer()
    {
        m_stopping = true;
        boost::system::error_code ec;
        Socket wake(m_io);
        wake.connect(m_acceptor.local_endpoint(), ec);
        m_thread.join();
        for (auto& connection : m_connections)
            connection.socket.shutdown(Socket::shutdown_both, ec);
        for (auto& connection : m_connections)
            connection.thread.join();
    }

    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    int connections() const { return m_accepted; }

private:
    using Socket = ScriptedConnection::Socket;

    struct Connection {
        Socket socket;
        std::thread thread;
    };

    void acceptAll()
    {
        while (true) {
            boost::system::error_code ec;
            auto socket = m_acceptor.accept(ec);
            if (m_stopping || ec)
                return;
            const int number = ++m_accepted;
            auto& connection = m_connections.emplace_back(Connection { std::move(socket), {} });
            connection.thread = std::thread([this, &connection, number] {
                ScriptedConnection scripted(connection.socket, number);
                m_script(scripted);
                boost::system::error_code ignored;
                connection.socket.shutdown(Socket::shutdown_both, ignored);
            });
        }
    }

    Script m_script;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_accepted = 0;
    std::list<Connection> m_connections;
    std::thread m_thread;
};

} // namespace yuccashift::fakes
