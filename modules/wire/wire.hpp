#ifndef BRIARDRUM_WIRE_WIRE_HPP
#define BRIARDRUM_WIRE_WIRE_HPP

// Protocols between processes: typed messages and their FlatBuffers encoding,
// TCP framing, the PROXY header of the network fabric, and a read-only view of
// CoAP datagrams with the few edits that an agent makes.
//
// Depends on: core, config.

#include "wire/coap/coap_view.hpp"
#include "wire/codec/control_codec.hpp"
#include "wire/codec/envelope_codec.hpp"
#include "wire/framing/frame_reader.hpp"
#include "wire/messages/control_message.hpp"
#include "wire/messages/envelope.hpp"
#include "wire/messages/flow_record.hpp"
#include "wire/messages/member_record.hpp"
#include "wire/proxy/proxy_header.hpp"

#endif
