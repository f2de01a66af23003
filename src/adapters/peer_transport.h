/* Shared by the two halves of the connections between controllers. */
#ifndef BD_PEER_TRANSPORT_H
#define BD_PEER_TRANSPORT_H
#include "adapters/node.h"
#include "base/metrics.h"
#include "wire/frame.h"

#define STACK_BYTES 131072

enum bd_traffic bd_frame_traffic(const struct bd_frame *frame);
int bd_peer_listener_start(struct bd_node *node);
#endif
