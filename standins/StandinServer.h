#ifndef VANILLASCALE_STANDINSERVER_H
#define VANILLASCALE_STANDINSERVER_H

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>
#include <functional>
#include <sstream>
#include <string>

namespace vanillascale {

/** A request as a stand-in sees it. */
struct StandinCall
{
  const cxxtools::http::Request& mRequest;
  std::string mBody;
  /** The caller's socket, for faults that break it. */
  int mSocket;
};

/** A stand-in's answer. */
struct StandinReply
{
  unsigned mStatus = 200;
  std::string mBody;
  std::vector<std::pair<std::string, std::string>> mHeaders;
};

using StandinHandler = std::function<StandinReply(const StandinCall&)>;

/** An HTTP service of which one function answers every request. */
class StandinService : public cxxtools::http::Service
{
public:
  explicit StandinService(StandinHandler aHandler)
    : mHandler(std::move(aHandler))
  {
  }

protected:
  class HandlerResponder : public cxxtools::http::Responder
  {
  public:
    explicit HandlerResponder(StandinService& aService)
      : Responder(aService)
      , mService(aService)
    {
    }
    void beginRequest(cxxtools::net::TcpSocket& aSocket,
                      std::istream& aIn,
                      cxxtools::http::Request& aRequest) override
    {
      Responder::beginRequest(aSocket, aIn, aRequest);
      mSocket = aSocket.getFd();
    }
    void reply(std::ostream& aOut,
               cxxtools::http::Request& aRequest,
               cxxtools::http::Reply& aReply) override
    {
      StandinReply answer =
        mService.mHandler({ aRequest, aRequest.bodyStr(), mSocket });
      aReply.httpReturn(answer.mStatus, "");
      for (const auto& [name, value] : answer.mHeaders) {
        aReply.setHeader(name.c_str(), value.c_str());
      }
      aOut << answer.mBody;
    }

  private:
    StandinService& mService;
    int mSocket = -1;
  };

  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request& /*aRequest*/) override
  {
    return new HandlerResponder(*this);
  }
  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    delete aResponder;
  }

private:
  StandinHandler mHandler;
};

/** Serves a handler at an address until the process ends. */
inline void
ServeStandin(const std::string& aHost,
             unsigned short aPort,
             unsigned aThreads,
             StandinHandler aHandler)
{
  cxxtools::EventLoop loop;
  StandinService service(std::move(aHandler));
  cxxtools::http::Server server(loop);
  server.minThreads(4);
  server.maxThreads(aThreads);
  server.addService(cxxtools::Regex(".*"), service);
  server.listen(aHost, aPort);
  loop.run();
}

} // namespace vanillascale

#endif
