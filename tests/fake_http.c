/* The HTTP servers of the stand-ins: a daemon and a thread an address, JSON in and out. */
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

static enum MHD_Result send_answer(struct MHD_Connection *conn, int status, json_t *json,
                                   bool is_truncated)
{
    char *text = json ? json_dumps(json, JSON_COMPACT) : strdup("{}");
    json_decref(json);
    size_t len = strlen(text);
    if (is_truncated && len > 4)
        len /= 2;
    struct MHD_Response *response =
        MHD_create_response_from_buffer(len, text, MHD_RESPMEM_MUST_FREE);
    enum MHD_Result result = MHD_queue_response(conn, (unsigned)status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result serve(void *arg, struct MHD_Connection *conn, const char *url,
                             const char *method, const char *version, const char *data,
                             size_t *size, void **context)
{
    struct fake_route *route = arg;
    struct request_body *request = *context;
    (void)version;
    if (!request) {
        *context = calloc(1, sizeof *request);
        return *context ? MHD_YES : MHD_NO;
    }
    if (*size) {
        request->bytes = realloc(request->bytes, request->len + *size + 1);
        memcpy(request->bytes + request->len, data, *size);
        request->len += *size;
        *size = 0;
        return MHD_YES;
    }
    json_t *in = request->bytes ? json_loadb(request->bytes, request->len, 0, NULL) : NULL,
           *out = NULL;
    pthread_mutex_lock(&route->cluster->lock);
    int status = route->answer(route->arg, method, url, conn, in, &out);
    bool is_truncated = route->cluster->truncated_answers > 0 && strncmp(url, "/do", 3) != 0;
    if (is_truncated)
        route->cluster->truncated_answers--;
    pthread_mutex_unlock(&route->cluster->lock);
    json_decref(in);
    if (status == NO_ANSWER) { /* the connection ends without one */
        json_decref(out);
        return MHD_NO;
    }
    return send_answer(conn, status, out, is_truncated);
}

static void release_body(void *arg, struct MHD_Connection *conn, void **context,
                         enum MHD_RequestTerminationCode code)
{
    struct request_body *request = *context;
    (void)arg;
    (void)conn;
    (void)code;
    if (request)
        free(request->bytes);
    free(request);
}

struct MHD_Daemon *fake_listen(struct fake_cluster *cluster, int port, fake_answer answer,
                               void *arg)
{
    struct fake_route *route = &cluster->routes[cluster->nroutes++];
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    *route = (struct fake_route){answer, arg, cluster};
    return MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, serve, route,
                            MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
                            release_body, NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
                            MHD_OPTION_END);
}
