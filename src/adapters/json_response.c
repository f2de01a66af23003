#include "adapters/json_response.h"
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum MHD_Result bd_json_response_send(struct MHD_Connection *connection,
                                      const struct bd_json_response *response)
{
    char seconds[16];
    size_t len = response->body ? strlen(response->body) : 0;
    struct MHD_Response *message =
        MHD_create_response_from_buffer(len, response->body, MHD_RESPMEM_MUST_FREE);
    if (!message) {
        free(response->body);
        return MHD_NO;
    }
    (void)MHD_add_response_header(message, "Content-Type", "application/json");
    if (response->retry_after_s > 0) {
        snprintf(seconds, sizeof seconds, "%d", response->retry_after_s);
        (void)MHD_add_response_header(message, "Retry-After", seconds);
    }
    if (response->closes_connection)
        (void)MHD_add_response_header(message, "Connection", "close");
    enum MHD_Result result = MHD_queue_response(connection, (unsigned)response->status, message);
    MHD_destroy_response(message);
    return result;
}
