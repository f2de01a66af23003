/* Reads the operators' own settings (S-expressions). */
#include "base/timeutil.h"
#include "brambledoor/settings.h"
#include "drain/drain.h"
#include "drain/drain_rules.h"
#include "runtime/settings_internal.h"
#include <math.h>
#include <sexp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_BYTES_MAX 65536

static char *read_file(const char *path)
{
    FILE *f = fopen(path, "rb");
    if (!f)
        return NULL;
    char *buf = calloc(1, FILE_BYTES_MAX + 1);
    if (buf && fread(buf, 1, FILE_BYTES_MAX, f) == 0 && ferror(f)) {
        free(buf);
        buf = NULL;
    }
    (void)fclose(f);
    return buf;
}

static void read_field(struct bd_settings_reader *reader, struct bd_settings *settings,
                       const char *name, const char *value)
{
    char *end = NULL;
    double d = strtod(value, &end);
    if (end == value || *end || !isfinite(d) || d < 0)
        bd_settings_fault(reader, name, "needs a number of at least 0");
    else if (strcmp(name, "leader-ttl-s") == 0)
        settings->leader_ttl = bd_secs(d);
    else if (strcmp(name, "spare-share") == 0)
        settings->headroom_share = d;
    else if (strcmp(name, "idle-boots") == 0)
        settings->idle_boots = d;
    else
        bd_settings_fault(reader, name, "unknown field");
}

/* (draining (name value) ...) */
static void read_draining(struct bd_settings_reader *reader, struct bd_settings *settings,
                          sexp_t *fields)
{
    struct bd_rules_fault fault = {"", ""};
    if (settings->draining) {
        bd_settings_fault(reader, "draining", "is declared twice");
        return;
    }
    settings->draining = bd_drain_rules_read(settings, fields, &fault);
    if (!settings->draining)
        bd_settings_fault(reader, fault.field, fault.what);
}

/* Each (name value) pair may stand at the top or inside one (brambledoor ...) list. */
static void read_pairs(struct bd_settings_reader *reader, struct bd_settings *settings, sexp_t *e)
{
    for (; e && !reader->failed; e = e->next) {
        if (e->ty != SEXP_LIST || !e->list || e->list->ty != SEXP_VALUE) {
            bd_settings_fault(reader, "entry", "needs the form (name value)");
            return;
        }
        sexp_t *v = e->list->next;
        if (strcmp(e->list->val, "brambledoor") == 0)
            read_pairs(reader, settings, v);
        else if (strcmp(e->list->val, "draining") == 0)
            read_draining(reader, settings, v);
        else if (!v || v->ty != SEXP_VALUE || v->next)
            bd_settings_fault(reader, e->list->val, "needs the form (name value)");
        else
            read_field(reader, settings, e->list->val, v->val);
    }
}

int bd_settings_operator(struct bd_settings *settings, const char *path, char *err, size_t errlen)
{
    struct bd_settings_reader reader = {path, err, errlen, false};
    char *body = read_file(path);
    if (!body) {
        bd_settings_fault(&reader, "file", "cannot be read");
        return -1;
    }
    size_t len = strlen(body);
    char *wrapped = malloc(len + 16);
    if (wrapped) {
        snprintf(wrapped, len + 16, "(%s\n)", body);
        sexp_t *e = parse_sexp(wrapped, strlen(wrapped));
        if (!e)
            bd_settings_fault(&reader, "file", "is not a well-formed S-expression");
        else
            read_pairs(&reader, settings, e->list);
        if (e)
            destroy_sexp(e);
        sexp_cleanup();
    }
    free(wrapped);
    free(body);
    return reader.failed ? -1 : 0;
}
