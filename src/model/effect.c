#include "model/effect.h"
#include "model/core_state.h"
#include "model/decision_log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ERROR_BODY_BYTES 160

struct bd_effect *bd_effect_emit(struct bd_core *core, enum bd_effect_kind kind)
{
    struct bd_effect *effect = calloc(1, sizeof *effect);
    if (!effect)
        abort();
    effect->kind = kind;
    if (core->last_effect)
        core->last_effect->next = effect;
    else
        core->first_effect = effect;
    core->last_effect = effect;
    return effect;
}

/* Takes ownership of the forwarded request. */
static struct bd_effect *emit_forward_reply(struct bd_core *core, struct bd_request_origin *origin)
{
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_FORWARD_REPLY);
    effect->peer = origin->peer;
    effect->forward_id = origin->id;
    free(origin);
    return effect;
}

static struct bd_effect *emit_local_reply(struct bd_core *core, void *request)
{
    struct bd_effect *effect = bd_effect_emit(core, BD_EFFECT_REPLY);
    effect->request = request;
    return effect;
}

void bd_effect_reply(struct bd_core *core, void *request, int status, char *body, int retry_after_s)
{
    struct bd_request_origin *origin = request;
    struct bd_effect *effect = origin && origin->is_forwarded ? emit_forward_reply(core, origin)
                                                              : emit_local_reply(core, request);
    effect->status = status;
    effect->body = body;
    effect->retry_after_s = retry_after_s;
}

void bd_effect_reply_error(struct bd_core *core, void *request, int status, const char *why,
                           int retry_after_s)
{
    char body[ERROR_BODY_BYTES];
    snprintf(body, sizeof body, "{\"error\":\"%s\"}", why);
    bd_effect_reply(core, request, status, strdup(body), retry_after_s);
}

struct bd_effect *bd_effects_take(struct bd_core *core)
{
    bd_decision_log_flush(core); /* decisions are logged before they are carried out */
    struct bd_effect *effects = core->first_effect;
    core->first_effect = core->last_effect = NULL;
    return effects;
}

void bd_effect_free(struct bd_effect *effect)
{
    free(effect->body);
    free(effect);
}
