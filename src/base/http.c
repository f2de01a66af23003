#include "base/http.h"
#include "base/metrics.h"
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

/* Far above any answer a healthy peer gives; keeps a broken one from filling the memory. */
#define BODY_MAX ((size_t)8 << 20)

struct bd_http {
    CURL *easy;
    struct curl_slist *headers;
    struct bd_counter *counter;
};

int bd_http_start(void)
{
    /* plain HTTP only: without CURL_GLOBAL_SSL no TLS tables are built at start-up */
    return curl_global_init(CURL_GLOBAL_NOTHING) == CURLE_OK ? 0 : -1;
}

void bd_http_end(void)
{
    curl_global_cleanup();
}

static size_t take(char *data, size_t size, size_t n, void *arg)
{
    struct bd_http_response *r = arg;
    size_t add = size * n;
    if (r->len + add > BODY_MAX)
        return 0;
    char *grown = realloc(r->body, r->len + add + 1);
    if (!grown)
        return 0;
    r->body = grown;
    memcpy(r->body + r->len, data, add);
    r->len += add;
    r->body[r->len] = '\0';
    return add;
}

struct bd_http *bd_http_new(long keep, struct bd_counter *counter)
{
    struct bd_http *h = calloc(1, sizeof *h);
    if (!h)
        return NULL;
    h->counter = counter;
    h->easy = curl_easy_init();
    h->headers = curl_slist_append(NULL, "Content-Type: application/json");
    struct curl_slist *more = h->headers ? curl_slist_append(h->headers, "Expect:") : NULL;
    if (!h->easy || !more) {
        bd_http_free(h);
        return NULL;
    }
    curl_easy_setopt(h->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(h->easy, CURLOPT_MAXCONNECTS, keep);
    curl_easy_setopt(h->easy, CURLOPT_WRITEFUNCTION, take);
    curl_easy_setopt(h->easy, CURLOPT_HTTPHEADER, h->headers);
    curl_easy_setopt(h->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(h->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(h->easy, CURLOPT_BUFFERSIZE, 16384L);
    return h;
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

static void count_call(struct bd_http *http, const struct bd_http_response *r)
{
    long out = 0, connections = 0;
    if (!http->counter)
        return;
    curl_easy_getinfo(http->easy, CURLINFO_REQUEST_SIZE, &out);
    curl_easy_getinfo(http->easy, CURLINFO_NUM_CONNECTS, &connections);
    bd_count_message(http->counter, (size_t)out, r->len);
    bd_count_connections(http->counter, (unsigned)connections);
}

void bd_http_call(struct bd_http *http, const char *method, const char *url, const char *body,
                  double timeout_s, struct bd_http_response *out)
{
    memset(out, 0, sizeof *out);
    long ms = (long)(timeout_s * 1000.0);
    curl_easy_setopt(http->easy, CURLOPT_URL, url);
    curl_easy_setopt(http->easy, CURLOPT_TIMEOUT_MS, ms);
    curl_easy_setopt(http->easy, CURLOPT_CONNECTTIMEOUT_MS, ms);
    curl_easy_setopt(http->easy, CURLOPT_WRITEDATA, out);
    if (strcmp(method, "POST") == 0) {
        curl_easy_setopt(http->easy, CURLOPT_CUSTOMREQUEST, NULL);
        curl_easy_setopt(http->easy, CURLOPT_POST, 1L);
        curl_easy_setopt(http->easy, CURLOPT_POSTFIELDS, body ? body : "");
        curl_easy_setopt(http->easy, CURLOPT_POSTFIELDSIZE, body ? (long)strlen(body) : 0L);
    } else {
        curl_easy_setopt(http->easy, CURLOPT_HTTPGET, 1L);
        curl_easy_setopt(http->easy, CURLOPT_CUSTOMREQUEST,
                         strcmp(method, "GET") == 0 ? NULL : method);
    }
    long code = 0;
    if (curl_easy_perform(http->easy) == CURLE_OK)
        curl_easy_getinfo(http->easy, CURLINFO_RESPONSE_CODE, &code);
    count_call(http, out);
    if (code == 0) {
        bd_http_response_free(out);
        return;
    }
    out->status = code;
}

void bd_http_response_free(struct bd_http_response *r)
{
    free(r->body);
    memset(r, 0, sizeof *r);
}
