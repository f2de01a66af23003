#include "behaviour_digest.h"
#include "model/effect.h"
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define FNV_OFFSET 14695981039346656037u
#define FNV_PRIME 1099511628211u

void behaviour_digest_start(struct behaviour_digest *digest, FILE *trace)
{
    *digest = (struct behaviour_digest){.hash = FNV_OFFSET, .trace = trace};
}

static void add_bytes(struct behaviour_digest *digest, const char *bytes, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        digest->hash ^= (unsigned char)bytes[i];
        digest->hash *= FNV_PRIME;
    }
    if (digest->trace)
        (void)fwrite(bytes, 1, len, digest->trace);
}

static void add_text(struct behaviour_digest *digest, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void add_text(struct behaviour_digest *digest, const char *fmt, ...)
{
    char text[256];
    va_list args;
    va_start(args, fmt);
    int len = vsnprintf(text, sizeof text, fmt, args);
    va_end(args);
    if (len < 0 || (size_t)len >= sizeof text)
        abort();
    add_bytes(digest, text, (size_t)len);
}

static void end_step(struct behaviour_digest *digest)
{
    add_bytes(digest, "\n", 1);
    digest->steps++;
}

static void begin_step(struct behaviour_digest *digest, double at_s, int controller,
                       const char *kind)
{
    add_text(digest, "%.6f %d %s", at_s, controller, kind);
}

static const char *kind_name(enum bd_effect_kind kind)
{
    switch (kind) {
    case BD_EFFECT_REPLY:
        return "reply";
    case BD_EFFECT_USER_TXN:
        return "user-commit";
    case BD_EFFECT_LEADER_TXN:
        return "leader-commit";
    case BD_EFFECT_DIRECT_COMMAND:
        return "command";
    case BD_EFFECT_SCALE_OUT:
        return "provision";
    case BD_EFFECT_SCALE_IN:
        return "return";
    case BD_EFFECT_READ_BARRIER:
        return "barrier";
    case BD_EFFECT_STEP_DOWN:
        return "step-down";
    case BD_EFFECT_DELEGATE_TXN:
        return "delegate-commit";
    case BD_EFFECT_JOB_LOOKUP:
        return "lookup";
    case BD_EFFECT_FORWARD_HEARTBEAT:
        return "forward";
    case BD_EFFECT_FORWARD_REPLY:
        return "forward-reply";
    case BD_EFFECT_ANNOUNCE_CANCELLATION:
        return "cancelled";
    }
    abort();
}

/* Effects of these two kinds store the purpose in place of the status. The purpose is internal to
 * the core and not a part of the step. */
static bool is_status_visible(enum bd_effect_kind kind)
{
    return kind != BD_EFFECT_USER_TXN && kind != BD_EFFECT_JOB_LOOKUP;
}

void behaviour_digest_effect(struct behaviour_digest *digest, double at_s, int controller,
                             const struct bd_effect *effect, uint64_t requester)
{
    begin_step(digest, at_s, controller, kind_name(effect->kind));
    if (requester)
        add_text(digest, " to=%llx", (unsigned long long)requester);
    if (is_status_visible(effect->kind))
        add_text(digest, " status=%d", effect->status);
    add_text(digest, " retry=%d key=%s addr=%s", effect->retry_after_s, effect->key, effect->addr);
    add_text(digest, " token=%llu machine=%u launch=%d", (unsigned long long)effect->fencing_token,
             effect->machine, effect->has_launches);
    add_text(digest, " until=%lld.%09ld", (long long)effect->send_deadline.tv_sec,
             effect->send_deadline.tv_nsec);
    add_text(digest, " sequence=%llu forward=%llu peer=%d ",
             (unsigned long long)effect->commit_sequence, (unsigned long long)effect->forward_id,
             effect->peer);
    if (effect->body)
        add_bytes(digest, effect->body, strlen(effect->body));
    end_step(digest);
}

void behaviour_digest_status(struct behaviour_digest *digest, double at_s, int controller, int peer,
                             const struct bd_frame *frame)
{
    begin_step(digest, at_s, controller, "status");
    add_text(digest, " peer=%d term=%llu flags=%u age=%u at=%llu", peer,
             (unsigned long long)frame->term, frame->flags, frame->kv_age_ms,
             (unsigned long long)frame->wall_clock_ms);
    end_step(digest);
}
