#ifndef QUAR_QUAR_KEY_H
#define QUAR_QUAR_KEY_H

#include "base/str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Digest (XXH3, 128 bits) of a request's content: client account, target and body. Request ids,
 * idempotency keys and the receiving host are left out, because they differ each time that the same
 * request is sent again. Among a million requests, the probability that two different ones have the
 * same digest by accident is below 1 in 10^20. XXH3 doesn't prevent collisions made on purpose;
 * such a request includes its own account's name, so callers that must exclude them also compare
 * the account.
 */
struct quar_key {
	uint64_t high;
	uint64_t low;
};

/* Computes the digest. account is "" for a request without a client account. */
struct quar_key quar_key_of(struct str account, struct str target, struct str body);

/*
 * Returns the key of all requests with this part in their prompts, whatever else they hold. It has
 * no account, and no digest equals it by accident.
 */
struct quar_key quar_key_of_part(uint64_t part);

bool quar_key_is_part(const struct quar_key *key);

enum {
	/* Maximum length of a key as text, without the terminating null. */
	QUAR_KEY_TEXT_LEN = 32
};

/* Writes the key as text: a digest as hexadecimal digits, a part as "part-" and its id. */
void quar_key_format(const struct quar_key *key, char text[QUAR_KEY_TEXT_LEN + 1]);

bool quar_key_eq(const struct quar_key *a, const struct quar_key *b);

G_END_DECLS

#endif
