#ifndef BRIARDRUM_IO_IO_HPP
#define BRIARDRUM_IO_IO_HPP

// Sockets and the store: Asio endpoints for data and control, the client of
// the platform's key-value store, logs and the local HTTP address. Everything
// here hangs on the hooks of the node cores.
//
// Depends on: every other module.

#endif
