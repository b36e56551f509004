#include "crowd.h"
#include "node_process.h"

#include "base/thread.h"
#include "emulator/store_emulator.h"
#include "emulator/worker_emulator.h"
#include "net/target_connection.h"

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <algorithm>
#include <future>
#include <iostream>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::crowds;
using namespace limpetbridge::emulator;

/// Longest wait for an answer.
constexpr duration Patience = seconds(30);
constexpr std::size_t Mb = std::size_t{1} << 20U;
/// Largest body that the configuration allows; the platform's default.
constexpr std::size_t MaxBodyBytes = std::size_t{4} << 20U;

constexpr const char *Configuration = R"({"version":3,"routes":[
 {"name":"read","host":"h","prefix":"/read/","kind":"idempotent",
  "timeout_ms":10000,"service":"ledger","attempts":2}],
 "services":[{"name":"ledger"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":60000,"idle_timeout_ms":60000}})";

/// Memory of the platform's smallest machine for a gateway, MB.
constexpr std::size_t MachineMb = 160;
/// Its limit of descriptors.
constexpr std::size_t MachineDescriptors = 4100;

/// Many callers at once who are not under control, at real processes: these
/// live, stay within their memory and descriptors, and serve others. Kernel
/// buffers are not counted.
class crowd_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crowd_test);
  CPPUNIT_TEST(bodies_largeChunksWithoutEnd_othersAreServed);
  CPPUNIT_TEST(bodies_chunksOfOneByteWithoutEnd_othersAreServed);
  CPPUNIT_TEST(bodies_farOverTheLimit_othersAreServed);
  CPPUNIT_TEST(requests_pipelinedAnswersUnread_othersAreServed);
  CPPUNIT_TEST(requests_longestBodiesAnswersUnread_othersAreServed);
  CPPUNIT_TEST(connections_halfAHead_othersAreServed);
  CPPUNIT_TEST(smallCalls_bodiesWithoutEnd_othersAreServed);
  CPPUNIT_TEST(controller_bodiesWithoutEnd_othersAreServed);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Thread = std::make_unique<thread>("emulator", LoopStackBytes,
                                      [this] { Context.run(); });
    call([this] {
      Store = std::make_unique<store_emulator>(Context);
      Worker = std::make_unique<worker_emulator>(Context, "w1", "ledger");
      Store->put("op", "config", Configuration);
      Store->put("servers", "w1", Worker->row());
    });
  }

  auto tearDown() -> void override {
    Crowd.reset();
    Node.reset();
    Context.stop();
    Thread.reset();
    Worker.reset();
    Store.reset();
  }

  auto bodies_largeChunksWithoutEnd_othersAreServed() -> void {
    startGateway(MachineDescriptors);
    Crowd->add(address(CallerPort), 100, chunked(LargeChunkBytes));
    check();
  }

  auto bodies_chunksOfOneByteWithoutEnd_othersAreServed() -> void {
    startGateway(MachineDescriptors);
    Crowd->add(address(CallerPort), 80, chunked(1));
    check();
  }

  auto bodies_farOverTheLimit_othersAreServed() -> void {
    startGateway(MachineDescriptors);
    Crowd->add(address(CallerPort), 80, chunked(LargeChunkBytes));
    Crowd->add(address(CallerPort), 40, withLength(64 * Mb));
    Crowd->send([this] { return watch(); });
    // Those without a length go over the limit, all at once.
    Crowd->addBlocks(15 * MaxBodyBytes / LargeChunkBytes);
    check();
  }

  auto requests_pipelinedAnswersUnread_othersAreServed() -> void {
    startGateway(MachineDescriptors);
    Crowd->add(address(CallerPort), 100,
               {"", "GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n", 20'000});
    check();
  }

  auto requests_longestBodiesAnswersUnread_othersAreServed() -> void {
    startGateway(MachineDescriptors);
    Crowd->add(address(CallerPort), 60,
               withLength(MaxBodyBytes - LargeChunkBytes));
    check();
  }

  auto connections_halfAHead_othersAreServed() -> void {
    startGateway(256);
    Crowd->add(address(CallerPort), 400,
               {"GET /read/x HTTP/1.1\r\nHost:", "", 0});
    check();
  }

  auto smallCalls_bodiesWithoutEnd_othersAreServed() -> void {
    startGateway(MachineDescriptors);
    for (const auto Port : {ReadinessPort, PeerPort, LinkPort, MetricsPort})
      Crowd->add(address(Port), 25, chunked(LargeChunkBytes));
    check();
    CPPUNIT_ASSERT_EQUAL(200, get(ReadinessPort));
    CPPUNIT_ASSERT_EQUAL(200, get(MetricsPort));
  }

  auto controller_bodiesWithoutEnd_othersAreServed() -> void {
    OrdinaryPort = MetricsPort;
    start("controller",
          "[controller]\ntarget = " + Worker->address() +
              "\n[target]\nservice = ledger\n",
          MachineDescriptors);
    for (const auto Port : {LinkPort, MetricsPort})
      Crowd->add(address(Port), 50, chunked(LargeChunkBytes));
    check();
  }

private:
  static constexpr std::size_t LargeChunkBytes = std::size_t{64} * 1024;
  static constexpr int CallerPort = 7101;
  static constexpr int ReadinessPort = 7102;
  static constexpr int PeerPort = 7103;
  static constexpr int LinkPort = 7104;
  static constexpr int MetricsPort = 7105;

  template <typename job> auto call(job Job) -> void {
    std::packaged_task<void()> Task(std::move(Job));
    net::asio::post(Context, [&Task] { Task(); });
    Task.get_future().wait();
  }

  /// An address of loopback that only this process uses.
  static auto host() -> std::string {
    constexpr int Numbers = 250;
    return "127." + std::to_string(1 + getpid() / Numbers % Numbers) + "." +
           std::to_string(1 + getpid() % Numbers) + ".1";
  }
  static auto address(int Port) -> std::string {
    return host() + ":" + std::to_string(Port);
  }

  auto startGateway(std::size_t Descriptors) -> void {
    start("gateway",
          "[gateway]\ncallers = " + address(CallerPort) + "\nreadiness = " +
              address(ReadinessPort) + "\npeers = " + address(PeerPort) +
              "\nmemory_mb = " + std::to_string(MachineMb) + "\n",
          Descriptors);
  }

  /// Starts the process and waits until it answers an ordinary request.
  auto start(const std::string &Role, const std::string &Settings,
             std::size_t Descriptors) -> void {
    // An eighth is left for connections to targets and to the store.
    MaxDescriptors = Descriptors - Descriptors / 8;
    Node = std::make_unique<node_process>(
        "[instance]\nrole = " + Role + "\nname = n1\ndata_centre = north\n" +
            "address = " + host() + "\n[link]\naddress = " + address(LinkPort) +
            "\n[metrics]\naddress = " + address(MetricsPort) +
            "\n[store]\naddress = " + Store->address() + "\n[log]\nfile = -\n" +
            Settings,
        Descriptors);
    const auto Until = process_clock::now() + Patience;
    while (get(OrdinaryPort) != 200 && process_clock::now() < Until)
      usleep(20'000);
    CPPUNIT_ASSERT_EQUAL(200, get(OrdinaryPort));
  }

  /// \returns the largest memory of the process so far.
  auto watch() -> std::size_t {
    PeakDescriptors = std::max(PeakDescriptors, Node->openDescriptors());
    return Node->peakBytes();
  }

  /// Sends what the crowd has to send, and then an ordinary request.
  auto check() -> void {
    Crowd->send([this] { return watch(); });
    const auto Peak = watch();
    const auto Status = get(OrdinaryPort);
    // A process that is ending may not have ended yet.
    const bool Alive = Node->staysAlive();
    std::cout << " callers done " << Crowd->doneCount() << ", closed "
              << Crowd->closedCount() << "; memory " << Peak / Mb << " of "
              << MachineMb << " MB, descriptors " << PeakDescriptors << " of "
              << MaxDescriptors << ", status " << Status
              << (Alive ? "" : ", the process has ended") << std::endl;
    CPPUNIT_ASSERT_MESSAGE(Node->logEnd(), Alive);
    CPPUNIT_ASSERT(Peak <= MachineMb * Mb);
    CPPUNIT_ASSERT(PeakDescriptors <= MaxDescriptors);
    CPPUNIT_ASSERT_EQUAL(200, Status);
  }

  /// Status of the answer to an ordinary request; 0 without an answer.
  auto get(int Port) -> int {
    net::http_request Request;
    Request.Target = "/read/x";
    Request.Fields = {{"Host", "h"},
                      {"X-Limpetbridge-Attempt-Id", std::to_string(++LastId)}};
    std::promise<int> Promise;
    auto Result = Promise.get_future();
    const auto Task = [&]() -> net::awaitable<void> {
      const net::asio::any_io_executor Executor = Context.get_executor();
      const auto Address = address(Port);
      const auto Answer = co_await net::fetch(Executor, Address, Request,
                                              process_clock::now() + Patience);
      Promise.set_value(Answer ? Answer->Head.Status : 0);
    };
    net::asio::post(Context,
                    [&] { net::spawn(Context.get_executor(), Task()); });
    return Result.get();
  }

  static auto post(const std::string &Framing) -> std::string {
    return "POST /read/x HTTP/1.1\r\nHost: h\r\n"
           "X-Limpetbridge-Attempt-Id: c\r\n" +
           Framing + "\r\n\r\n";
  }

  /// A chunked body that stops just short of the limit and has no end.
  static auto chunked(std::size_t ChunkBytes) -> script {
    const auto Chunk = net::serializeChunk(std::string(ChunkBytes, 'x'));
    std::string Block;
    for (std::size_t Bytes = 0; Bytes < LargeChunkBytes; Bytes += ChunkBytes)
      Block += Chunk;
    return {post("Transfer-Encoding: chunked"), Block,
            MaxBodyBytes / LargeChunkBytes - 1};
  }

  static auto withLength(std::size_t Bytes) -> script {
    return {post("Content-Length: " + std::to_string(Bytes)),
            std::string(LargeChunkBytes, 'x'),
            std::min(Bytes, MaxBodyBytes - LargeChunkBytes) / LargeChunkBytes};
  }

  net::asio::io_context Context;
  net::asio::executor_work_guard<net::asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::unique_ptr<thread> Thread;
  std::unique_ptr<store_emulator> Store;
  std::unique_ptr<worker_emulator> Worker;
  std::unique_ptr<node_process> Node;
  std::unique_ptr<crowd> Crowd = std::make_unique<crowd>();
  int OrdinaryPort = CallerPort;
  std::size_t MaxDescriptors = 0;
  std::size_t PeakDescriptors = 0;
  int LastId = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crowd_test);

} // namespace
