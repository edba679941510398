#include "platform/standins/entry_fleet.hpp"
#include "tests/support/relay.hpp"
#include "tests/support/wait.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

namespace yuccashift::test {
namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;

    /** A caller's connection, which stays open over many requests. */
    class OpenConnection {
    public:
        explicit OpenConnection(const Endpoint& to)
        {
            m_socket.connect({ asio::ip::make_address(to.host), to.port });
        }

        /** Sends a request with this key and returns the status of its answer; 0 if the connection was closed instead. */
        int call(const std::string& attempt, const std::string& key)
        {
            boost::system::error_code ec;
            const auto text = "GET /read/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: 3000\r\nX-Tenant: forged\r\nAuthorization: Bearer " + key + "\r\n\r\n";
            asio::write(m_socket, asio::buffer(text), ec);
            http::response<http::string_body> reply;
            if (!ec)
                http::read(m_socket, m_buf, reply, ec);
            return ec ? 0 : static_cast<int>(reply.result_int());
        }

    private:
        asio::io_context m_io;
        asio::ip::tcp::socket m_socket { m_io };
        boost::beast::flat_buffer m_buf;
    };

    /** Two instances in sofia, the second of which reaches the store through a relay, and one in varna, which has the only server. */
    class EntryInstancesThatIdentifyCallers : public testing::Test {
    protected:
        EntryInstancesThatIdentifyCallers()
        {
            m_fleet.publish({ "ledger-varna", "ledger", "hall-varna", m_fleet.startWorker("ledger-varna", "varna") });
            m_toStore.setTarget(m_fleet.store());
            publish(3, { "k1", "k2" });
            m_fleet.startEntry("sofia-1", "sofia");
            m_fleet.startEntry("sofia-2", "sofia", m_toStore.endpoint());
            m_fleet.startEntry("varna-1", "varna");
            for (const auto* name : { "sofia-1", "sofia-2", "varna-1" })
                EXPECT_TRUE(waitUntil([&] { return m_fleet.metric(name, "yuccashift_instances_heard") == 2; })) << name;
        }

        void publish(std::int64_t version, const std::vector<std::string>& clinicKeys)
        {
            m_fleet.publishConfig(version, { { "/read/", "idempotent", "ledger", {}, false, 2 } }, std::vector<PublishedOrganisation> { { "clinic", clinicKeys }, { "school", { "k9" } } });
        }

        std::string nextAttempt() { return "a" + std::to_string(++m_attempts); }

        /** Waits until the connection's requests with the key get this status. */
        bool becomes(OpenConnection& connection, const std::string& key, int status)
        {
            return waitUntil([&] { return connection.call(nextAttempt(), key) == status; });
        }

        std::string organisationOf(const std::string& attempt) const
        {
            const auto runs = m_fleet.read("ledger-varna", "/control/runs");
            const auto* name = runs.at("organisations").as_object().if_contains(attempt);
            return name ? std::string(name->as_string()) : "(not run)";
        }

        EntryFleet m_fleet { "organisations" };
        Relay m_toStore;

    private:
        int m_attempts = 0;
    };

    // The server is in the other region: every request of sofia crosses a hop.
    TEST_F(EntryInstancesThatIdentifyCallers, NameTheOrganisationToServersAndNeverTheKey)
    {
        OpenConnection near(m_fleet.callers("varna-1"));
        OpenConnection far(m_fleet.callers("sofia-1"));
        EXPECT_TRUE(becomes(near, "k1", 200));
        EXPECT_TRUE(becomes(far, "k1", 200));
        EXPECT_EQ(near.call("near", "k2"), 200);
        EXPECT_EQ(far.call("far", "k9"), 200);
        EXPECT_EQ(far.call("unknown", "k7"), 401);
        EXPECT_EQ(organisationOf("near"), "clinic");
        EXPECT_EQ(organisationOf("far"), "school");
        EXPECT_EQ(organisationOf("unknown"), "(not run)");
        EXPECT_EQ(m_fleet.read("ledger-varna", "/control/runs").at("keysSeen"), 0);
    }

    // The store turns one instance away and serves its peers; a caller keeps its connection to that instance.
    TEST_F(EntryInstancesThatIdentifyCallers, EndAWithdrawnKeyOnOpenConnectionsThoughTheStoreTurnsThemAway)
    {
        OpenConnection connection(m_fleet.callers("sofia-2"));
        EXPECT_TRUE(becomes(connection, "k1", 200));
        m_toStore.setMode(RelayMode::Cut);
        publish(4, { "k2" });
        EXPECT_TRUE(becomes(connection, "k1", 401));
        EXPECT_EQ(connection.call(nextAttempt(), "k2"), 200);
        // A restart without the store must not bring the key back.
        m_fleet.startEntry("sofia-2", "sofia", m_toStore.endpoint());
        EXPECT_TRUE(m_fleet.waitReady("sofia-2"));
        OpenConnection again(m_fleet.callers("sofia-2"));
        EXPECT_EQ(again.call(nextAttempt(), "k1"), 401);
        EXPECT_TRUE(becomes(again, "k2", 200));
        EXPECT_EQ(again.call(nextAttempt(), "k1"), 401);
    }

    // An operator's mistake must not let a withdrawn key in again, nor shut out the others.
    TEST_F(EntryInstancesThatIdentifyCallers, KeepTheLastGoodConfigurationIfTwoOrganisationsShareAKey)
    {
        OpenConnection connection(m_fleet.callers("varna-1"));
        EXPECT_TRUE(becomes(connection, "k1", 200));
        const auto revision = [this] { return m_fleet.metric("varna-1", "yuccashift_store_revision"); };
        const auto before = revision();
        publish(4, { "k1", "k9" });
        EXPECT_TRUE(waitUntil([&] { return revision() > before; }));
        EXPECT_EQ(connection.call("kept", "k9"), 200);
        EXPECT_EQ(organisationOf("kept"), "school");
        EXPECT_EQ(m_fleet.metric("varna-1", "yuccashift_config_version"), 3);
        publish(5, { "k3" });
        EXPECT_TRUE(becomes(connection, "k3", 200));
        EXPECT_EQ(connection.call(nextAttempt(), "k1"), 401);
    }

} // namespace
} // namespace yuccashift::test
