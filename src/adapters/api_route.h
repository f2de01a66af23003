/* Routing of the HTTP API: the kind of request that a method and a path stand for. Stateless;
 * called by the API server. */
#ifndef BD_API_ROUTE_H
#define BD_API_ROUTE_H
#include "adapters/event.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* The route of a request: the kind of its event and the job that its path names, or an error. */
struct bd_api_route {
    int error_status; /* HTTP status, 404 or 405; 0: no error */
    enum bd_event_kind kind;
    char job_id[BD_LABEL_BYTES]; /* of status reads and cancellations */
};

/* The route of a request other than a health check. */
struct bd_api_route bd_api_find_route(const char *method, const char *url);
#endif
