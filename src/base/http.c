#include "base/http.h"
#include "base/metrics.h"
#include <curl/curl.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Longer than any response of a healthy server; limits the memory that a faulty server can use. */
#define BODY_BYTES_MAX ((size_t)8 << 20)
#define RECEIVE_BUFFER_BYTES 16384L

struct bd_http {
    CURL *easy;                 /* owns the connections */
    struct curl_slist *headers; /* sent with every request */
    struct bd_counter *counter; /* borrowed, may be NULL */
};

int bd_http_global_init(void)
{
    /* Only plain HTTP is used; without CURL_GLOBAL_SSL no TLS tables are built at start-up. */
    return curl_global_init(CURL_GLOBAL_NOTHING) == CURLE_OK ? 0 : -1;
}

void bd_http_global_cleanup(void)
{
    curl_global_cleanup();
}

/* Write callback of libcurl. A return value other than the number of bytes aborts the transfer. */
static size_t append_to_body(char *data, size_t size, size_t count, void *arg)
{
    struct bd_http_response *response = arg;
    size_t bytes = size * count;
    if (response->len + bytes > BODY_BYTES_MAX)
        return 0;
    char *grown = realloc(response->body, response->len + bytes + 1);
    if (!grown)
        return 0;
    response->body = grown;
    memcpy(response->body + response->len, data, bytes);
    response->len += bytes;
    response->body[response->len] = '\0';
    return bytes;
}

static void set_fixed_options(struct bd_http *http, long idle_connections_max)
{
    curl_easy_setopt(http->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(http->easy, CURLOPT_MAXCONNECTS, idle_connections_max);
    curl_easy_setopt(http->easy, CURLOPT_WRITEFUNCTION, append_to_body);
    curl_easy_setopt(http->easy, CURLOPT_HTTPHEADER, http->headers);
    curl_easy_setopt(http->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(http->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(http->easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
}

struct bd_http *bd_http_new(long idle_connections_max, struct bd_counter *counter)
{
    struct bd_http *http = calloc(1, sizeof *http);
    if (!http)
        return NULL;
    http->counter = counter;
    http->easy = curl_easy_init();
    http->headers = curl_slist_append(NULL, "Content-Type: application/json");
    /* An empty Expect header avoids the round trip for "100 Continue" before a long body. */
    struct curl_slist *headers = http->headers ? curl_slist_append(http->headers, "Expect:") : NULL;
    if (!http->easy || !headers) {
        bd_http_free(http);
        return NULL;
    }
    set_fixed_options(http, idle_connections_max);
    return http;
}

void bd_http_free(struct bd_http *http)
{
    if (!http)
        return;
    if (http->easy)
        curl_easy_cleanup(http->easy);
    curl_slist_free_all(http->headers);
    free(http);
}

static void count_call(const struct bd_http *http, const struct bd_http_response *response)
{
    long bytes_out = 0, connections = 0;
    if (!http->counter)
        return;
    curl_easy_getinfo(http->easy, CURLINFO_REQUEST_SIZE, &bytes_out);
    curl_easy_getinfo(http->easy, CURLINFO_NUM_CONNECTS, &connections);
    bd_count_message(http->counter, (size_t)bytes_out, response->len);
    bd_count_connections(http->counter, (unsigned)connections);
}

static void set_method(struct bd_http *http, const char *method, const char *body)
{
    if (strcmp(method, "POST") == 0) {
        curl_easy_setopt(http->easy, CURLOPT_CUSTOMREQUEST, NULL);
        curl_easy_setopt(http->easy, CURLOPT_POST, 1L);
        curl_easy_setopt(http->easy, CURLOPT_POSTFIELDS, body ? body : "");
        curl_easy_setopt(http->easy, CURLOPT_POSTFIELDSIZE, body ? (long)strlen(body) : 0L);
        return;
    }
    bool is_get = strcmp(method, "GET") == 0;
    curl_easy_setopt(http->easy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(http->easy, CURLOPT_CUSTOMREQUEST, is_get ? NULL : method);
}

void bd_http_call(struct bd_http *http, const char *method, const char *url, const char *body,
                  double timeout_s, struct bd_http_response *out)
{
    long timeout_ms = (long)(timeout_s * 1000.0), status = 0;
    memset(out, 0, sizeof *out);
    curl_easy_setopt(http->easy, CURLOPT_URL, url);
    curl_easy_setopt(http->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(http->easy, CURLOPT_CONNECTTIMEOUT_MS, timeout_ms);
    curl_easy_setopt(http->easy, CURLOPT_WRITEDATA, out);
    set_method(http, method, body);
    if (curl_easy_perform(http->easy) == CURLE_OK)
        curl_easy_getinfo(http->easy, CURLINFO_RESPONSE_CODE, &status);
    count_call(http, out);
    if (status == 0)
        bd_http_response_free(out);
    else
        out->status = status;
}

void bd_http_response_free(struct bd_http_response *response)
{
    free(response->body);
    memset(response, 0, sizeof *response);
}
