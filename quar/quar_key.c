#include "quar/quar_key.h"

#include <xxhash.h>

/* Upper half of the keys of parts: "part" in ASCII, then zeros. */
static const uint64_t quar_part_mark = G_GUINT64_CONSTANT(0x7061727400000000);

/* Hashes the length first, so that bytes moved from one part to the next change the digest. */
static void quar_hash_part(XXH3_state_t *state, struct str part)
{
	uint64_t len = part.len;

	XXH3_128bits_update(state, &len, sizeof(len));
	if (part.len > 0)
		XXH3_128bits_update(state, part.data, part.len);
}

struct quar_key quar_key_of(struct str account, struct str target, struct str body)
{
	XXH3_state_t *state = XXH3_createState();
	XXH128_hash_t hash;

	g_assert(state);
	XXH3_128bits_reset(state);
	quar_hash_part(state, account);
	quar_hash_part(state, target);
	quar_hash_part(state, body);
	hash = XXH3_128bits_digest(state);
	XXH3_freeState(state);
	return (struct quar_key){hash.high64, hash.low64};
}

void quar_key_format(const struct quar_key *key, char text[QUAR_KEY_TEXT_LEN + 1])
{
	if (quar_key_is_part(key)) {
		g_snprintf(text, QUAR_KEY_TEXT_LEN + 1, "part-%" G_GINT64_MODIFIER "x", key->low);
		return;
	}
	g_snprintf(text, QUAR_KEY_TEXT_LEN + 1,
		   "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", key->high, key->low);
}

struct quar_key quar_key_of_part(uint64_t part)
{
	return (struct quar_key){quar_part_mark, part};
}

bool quar_key_is_part(const struct quar_key *key)
{
	return key->high == quar_part_mark;
}

bool quar_key_eq(const struct quar_key *a, const struct quar_key *b)
{
	return a->high == b->high && a->low == b->low;
}
