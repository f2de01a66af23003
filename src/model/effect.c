#include "model/effect.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct bd_effect *bd_effect_emit(struct bd_core *core, enum bd_effect_kind kind)
{
    struct bd_effect *e = calloc(1, sizeof *e);
    if (!e)
        abort(); /* out of memory: the supervisor restarts us, the state service has it all */
    e->kind = kind;
    if (core->last)
        core->last->next = e;
    else
        core->first = e;
    core->last = e;
    return e;
}

void bd_effect_reply(struct bd_core *core, void *request, int status, char *body, int retry_after)
{
    struct bd_remote *q = request;
    bool remote = q && q->remote;
    struct bd_effect *effect =
        bd_effect_emit(core, remote ? BD_EFFECT_FORWARD_REPLY : BD_EFFECT_REPLY);
    effect->request = remote ? NULL : request;
    if (remote) {
        effect->peer = q->peer;
        effect->forward_id = q->id;
        free(q);
    }
    effect->status = status;
    effect->body = body;
    effect->retry_after = retry_after;
}

void bd_effect_reply_error(struct bd_core *core, void *request, int status, const char *why,
                           int retry_after)
{
    char buf[160];
    snprintf(buf, sizeof buf, "{\"error\":\"%s\"}", why);
    bd_effect_reply(core, request, status, strdup(buf), retry_after);
}

struct bd_effect *bd_effects_take(struct bd_core *core)
{
    bd_decision_log_flush(core); /* what allowed them is in the log before they are carried out */
    struct bd_effect *effect = core->first;
    core->first = core->last = NULL;
    return effect;
}

void bd_effect_free(struct bd_effect *effect)
{
    free(effect->body);
    free(effect);
}
