/* HTTP servers of the fakes: a daemon with its own thread for each port, JSON request and response
 * bodies. */
#include "fake_server_internal.h"
#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct request_body {
    char *bytes;
    size_t len;
};

static enum MHD_Result send_response(struct MHD_Connection *connection, int status, json_t *content,
                                     bool is_truncated)
{
    char *text = content ? json_dumps(content, JSON_COMPACT) : strdup("{}");
    json_decref(content);
    size_t len = strlen(text);
    if (is_truncated && len > 4)
        len /= 2;
    struct MHD_Response *http_response =
        MHD_create_response_from_buffer(len, text, MHD_RESPMEM_MUST_FREE);
    enum MHD_Result result = MHD_queue_response(connection, (unsigned)status, http_response);
    MHD_destroy_response(http_response);
    return result;
}

static enum MHD_Result serve(void *arg, struct MHD_Connection *connection, const char *url,
                             const char *method, const char *version, const char *data,
                             size_t *size, void **context)
{
    struct fake_route *route = arg;
    struct request_body *body = *context;
    (void)version;
    if (!body) {
        *context = calloc(1, sizeof *body);
        return *context ? MHD_YES : MHD_NO;
    }
    if (*size) {
        body->bytes = realloc(body->bytes, body->len + *size + 1);
        memcpy(body->bytes + body->len, data, *size);
        body->len += *size;
        *size = 0;
        return MHD_YES;
    }
    json_t *request = body->bytes ? json_loadb(body->bytes, body->len, 0, NULL) : NULL,
           *response = NULL;
    pthread_mutex_lock(&route->cluster->lock);
    int status = route->handler(route->arg, method, url, connection, request, &response);
    bool is_truncated = route->cluster->truncated_responses > 0 && strncmp(url, "/do", 3) != 0;
    if (is_truncated)
        route->cluster->truncated_responses--;
    pthread_mutex_unlock(&route->cluster->lock);
    json_decref(request);
    if (status == NO_RESPONSE) {
        json_decref(response);
        return MHD_NO;
    }
    return send_response(connection, status, response, is_truncated);
}

static void release_body(void *arg, struct MHD_Connection *connection, void **context,
                         enum MHD_RequestTerminationCode code)
{
    struct request_body *body = *context;
    (void)arg;
    (void)connection;
    (void)code;
    if (body)
        free(body->bytes);
    free(body);
}

struct MHD_Daemon *fake_listen(struct fake_cluster *cluster, int port, fake_handler handler,
                               void *arg)
{
    struct fake_route *route = &cluster->routes[cluster->nroutes++];
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    *route = (struct fake_route){handler, arg, cluster};
    return MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, serve, route,
                            MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
                            release_body, NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
                            MHD_OPTION_END);
}
