/* JSON responses of the HTTP servers. Stateless; called on libmicrohttpd's threads. */
#ifndef BD_JSON_RESPONSE_H
#define BD_JSON_RESPONSE_H
#include <microhttpd.h>
#include <stdbool.h>

struct bd_json_response {
    int status;        /* HTTP status */
    char *body;        /* allocated with malloc; NULL: empty */
    int retry_after_s; /* 0: no Retry-After header */
    bool closes_connection;
};

/* Queues the response on the connection, and takes ownership of its body. MHD_NO: out of memory. */
enum MHD_Result bd_json_response_send(struct MHD_Connection *connection,
                                      const struct bd_json_response *response);
#endif
