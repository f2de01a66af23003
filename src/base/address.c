#include "base/address.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#define HOST_BYTES 64 /* including the terminator */

bool bd_address_parse(const char *text, struct sockaddr_in *out)
{
    char host[HOST_BYTES];
    const char *colon = strrchr(text, ':');
    if (!colon)
        return false;
    size_t host_len = (size_t)(colon - text);
    if (host_len >= sizeof host)
        return false;
    memcpy(host, text, host_len);
    host[host_len] = '\0';
    memset(out, 0, sizeof *out);
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}
