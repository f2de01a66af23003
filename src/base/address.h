/* Addresses of sockets, as the settings write them. */
#ifndef BD_ADDRESS_H
#define BD_ADDRESS_H
#include <stdbool.h>

struct sockaddr_in;

/* Reads "HOST:PORT" with an IPv4 host. False: it is not of that form. */
bool bd_address_parse(const char *text, struct sockaddr_in *out);
#endif
