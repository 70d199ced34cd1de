#include "socket.hpp"

#include "heronshift/loop_handle.hpp"

#include <memory>
#include <utility>

namespace heronshift::http {
namespace {

thread_local char read_buffer[64 * 1024];

struct WriteOp {
    uv_write_t request{};
    std::string data;
};

} // namespace

double precise_now() {
    return static_cast<double>(uv_hrtime()) * 1e-9;
}

void provide_read_buffer(uv_handle_t* /*handle*/, std::size_t /*hint*/, uv_buf_t* buf) {
    *buf = uv_buf_init(read_buffer, sizeof read_buffer);
}

int write_all(uv_tcp_t* tcp, std::string data) {
    auto op = std::make_unique<WriteOp>();
    op->data = std::move(data);
    op->request.data = op.get();
    const uv_buf_t all = uv_buf_init(op->data.data(), static_cast<unsigned>(op->data.size()));
    // Most messages fit into the socket's send buffer at once. Only the remainder, if any, is queued.
    const int written = uv_try_write(as_stream(tcp), &all, 1);
    if (written == static_cast<int>(op->data.size()))
        return 0;
    const std::size_t sent = written > 0 ? static_cast<std::size_t>(written) : 0;
    const uv_buf_t rest = uv_buf_init(op->data.data() + sent, static_cast<unsigned>(op->data.size() - sent));
    const int error = uv_write(&op->request, as_stream(tcp), &rest, 1,
                               [](uv_write_t* r, int) { delete static_cast<WriteOp*>(r->data); });
    if (error == 0)
        (void)op.release(); // now owned by the callback
    return error;
}

bool parse_ipv4_address(const std::string& host, int port, sockaddr_in& out) {
    return uv_ip4_addr(host.c_str(), port, &out) == 0;
}

} // namespace heronshift::http
