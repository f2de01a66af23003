/* Classifies a frame for the traffic metrics. Used by both sides of the transport. */
#ifndef BD_PEER_TRAFFIC_H
#define BD_PEER_TRAFFIC_H
#include "base/metrics.h"
#include "wire/frame.h"

static inline enum bd_traffic bd_frame_traffic(const struct bd_frame *frame)
{
    bool is_status = frame->type == BD_FRAME_PEER_STATUS || frame->type == BD_FRAME_JOB_PROGRESS;
    return is_status ? BD_TRAFFIC_PEER_STATUS : BD_TRAFFIC_FORWARD;
}
#endif
