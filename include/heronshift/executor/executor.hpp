// What runs tasks for a controller: machines that take orders and report, and whoever gives machines
// and takes them back. The daemon's speaks the platform's protocol (executor/http.hpp); a program that
// embeds the scheduler may bring its own.
//
// It only carries: whether an order may be given, and what silence means, is the ledger's to judge. So
// an executor must say what it knows and no more: an answer that was lost is "no answer", not "no".
// All calls and callbacks on the loop's thread. A callback may come before the call returns; each
// comes once, at the latest when the executor is destroyed or the time given is over.
#pragma once

#include "heronshift/http_reply.hpp"
#include "heronshift/messages.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heronshift {

// What a controller says to a report. 200: fence and orders are valid and the machine's lease runs anew
// from when the report was sent; 421: not here, the node named holds the office; 503: nobody known does.
struct ReportAnswer {
    int status = 503;
    std::uint64_t fence = 0;
    std::vector<Order> orders;
    std::string holder;
};

class Executor {
public:
    using ReportDone = std::function<void(const ReportAnswer&)>;
    using Reports = std::function<void(Report&&, ReportDone)>;

    Executor() = default;
    virtual ~Executor() = default;
    Executor(const Executor&) = delete;
    Executor& operator=(const Executor&) = delete;

    // Where reports that reach the executor itself are to go; before any other call.
    virtual void reports_to(Reports) {}

    // To one machine: status 200 or 409 with its report (409: refused, our fence or its tenure is old),
    // 0 or another: no answer.
    virtual void command(const SendOrders& orders, double timeout_s, std::function<void(OrdersAnswered&&)> done) = 0;
    // A claim that was made before gets the same machines once more.
    virtual void rent(const Rent& ask, double timeout_s, std::function<void(Rented&&)> done) = 0;
    virtual void release(const Release& ask, double timeout_s, std::function<void(Released&&)> done) = 0;
    // A page of the machines given, in order of id after `since`; none: no answer.
    virtual void list(const std::string& since, double timeout_s,
                      std::function<void(std::optional<codec::MachinePage>&&)> done) = 0;
    virtual void types(double timeout_s, std::function<void(std::optional<std::vector<MachineType>>&&)> done) = 0;

    // For several controllers that help each other. Whether the machine at an address answers at all; none:
    // that cannot be asked here.
    virtual void probe(const std::string& /*addr*/, double /*timeout_s*/,
                       std::function<void(std::optional<bool>)> done) {
        done(std::nullopt);
    }
    // Orders that another controller has written, as they are: the machine's answer as it is, status 0 for none.
    virtual void pass_on(const std::string& /*addr*/, std::string /*body*/, double /*timeout_s*/,
                         std::function<void(HttpReply&&)> done) {
        done({});
    }
    virtual void sweep() {} // ends what takes too long; some thirty times in report_s
};

} // namespace heronshift
