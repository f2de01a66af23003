#include "case.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool trouble;

bool case_begin(int argc, char **argv, const struct site *site)
{
    const char *t = getenv("TROUBLE");
    trouble = !(t && strcmp(t, "0") == 0);
    setenv("LOG_LEVEL", "info", 1);
    if (argc != 3 || !world_start(site, argv[1], argv[2], 20261206u))
        return false;
    record("site %s, %s", site->name, trouble ? "with the disruption" : "without the disruption");
    return true;
}

int case_end(void)
{
    int violations = W.violations;
    record("%s%s%s", violations ? "the rule was broken" : "the rule held", violations ? ": " : "",
           violations ? W.first_violation : "");
    printf("%s%s%s\n", violations ? "broken" : "held", violations ? ": " : "",
           violations ? W.first_violation : "");
    world_finish();
    return violations ? 1 : 0;
}

int case_cannot(const char *why)
{
    record("the case could not run: %s", why);
    printf("could not run: %s\n", why);
    world_finish();
    return 2;
}

bool log_has(int node, const char *text, long *from)
{
    char line[1024];
    bool found = false;
    FILE *f = fopen(W.nodes[node].log_path, "r");
    if (!f)
        return false;
    if (fseek(f, *from, SEEK_SET) != 0) {
        fclose(f);
        return false;
    }
    while (!found && fgets(line, sizeof line, f)) {
        if (!strchr(line, '\n'))
            break; /* not written in full yet */
        *from = ftell(f);
        found = strstr(line, text) != NULL;
    }
    fclose(f);
    return found;
}

static bool is_ready(void)
{
    if (store_leader() < 0)
        return false;
    for (int i = 0; i < NODES; i++)
        if (!W.nodes[i].is_healthy)
            return false;
    for (int i = 0; i < W.nmachines; i++)
        if (W.machines[i].is_up && !W.machines[i].is_gone &&
            W.machines[i].seal < store_leader_mark())
            return false;
    return true;
}

bool case_wait_ready(void)
{
    return world_wait(is_ready, 25);
}
