#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/kind.h"
#include "msg/once.pb-c.h"
#include "once/once.h"
#include "prog/entry_broker.h"

#include <string.h>

/* Requests claims of idempotency keys from their homes on behalf of the traffic thread. */
enum {
	ENTRY_CLAIM_HOMES_MAX = 3 /* homes asked before a claim counts as undecidable */
};

static void entry_claim_submit(struct entry *e, struct entry_pending_claim *pending);

static void entry_claim_free(struct entry_claim *claim)
{
	g_free(claim->key);
	g_free(claim->id);
	g_free(claim->run_id);
	g_free(claim->endpoints);
	g_free(claim->digest);
	g_free(claim->supersedes);
	g_free(claim);
}

void entry_pending_claim_free(gpointer data)
{
	struct entry_pending_claim *pending = data;

	entry_claim_free(pending->claim);
	g_free(pending->home);
	g_free(pending);
}

static void entry_send_verdict(struct entry *e, struct entry_pending_claim *pending, int verdict,
			       const Once__Claim *winner)
{
	struct entry_event *event = entry_event_new(ENTRY_EVENT_CLAIM, pending->claim->call_id,
						    pending->claim->attempt);

	event->verdict = verdict;
	if (winner) {
		event->winner_id = g_strdup(winner->id);
		event->winner_run_id = g_strdup(winner->request);
		event->winner_entry = g_strdup(winner->entry);
		event->winner_endpoints = g_strdup(winner->endpoints);
		event->winner_digest = g_strdup(winner->digest);
	}
	g_hash_table_remove(e->broker.claims, &pending->ask_id);
	entry_send_event(e, event);
}

/* Returns the connection to the home of a key's partition, or NULL. */
static struct entry_home *entry_claim_home(struct entry *e, const char *key)
{
	char *name = g_strdup_printf(
		"claims-%u", once_partition(key, (unsigned int)e->settings.claim_partitions));
	const struct host *host = host_home(&e->view.hosts, name, 0, tmr_now());

	g_free(name);
	return host ? entry_home_connect(e, host) : NULL;
}

/*
 * Sends a claim to the home of its key. Several homes may receive the same claim, since the log
 * identifies it by its id.
 */
static void entry_claim_submit(struct entry *e, struct entry_pending_claim *pending)
{
	struct entry_claim *claim = pending->claim;
	struct entry_home *home = pending->homes_tried < ENTRY_CLAIM_HOMES_MAX
					  ? entry_claim_home(e, claim->key)
					  : NULL;
	Once__Claim msg = ONCE__CLAIM__INIT;

	pending->homes_tried++;
	g_free(pending->home);
	pending->home = home ? g_strdup(home->host) : NULL;
	if (!home) {
		entry_send_verdict(e, pending, ONCE_UNAVAILABLE, NULL);
		return;
	}
	msg.ask_id = pending->ask_id;
	msg.key = claim->key;
	msg.id = claim->id;
	msg.request = claim->run_id;
	msg.entry = e->settings.name;
	msg.endpoints = claim->endpoints;
	msg.digest = claim->digest;
	msg.supersedes = claim->supersedes;
	frm_send(home->conn, MSG_ONCE_CLAIM, &msg.base);
	entry_home_begin_wait(home);
}

void entry_claims_home_lost(struct entry *e, const char *host)
{
	GList *claims = g_hash_table_get_values(e->broker.claims);

	for (GList *l = claims; l; l = l->next) {
		struct entry_pending_claim *pending = l->data;

		if (pending->home && strcmp(pending->home, host) == 0)
			entry_claim_submit(e, pending);
	}
	g_list_free(claims);
}

void entry_post_claim(void *task)
{
	struct entry_claim *claim = task;
	struct entry *e = claim->entry;
	struct entry_pending_claim *pending = g_new0(struct entry_pending_claim, 1);

	pending->claim = claim;
	pending->ask_id = ++e->broker.last_id;
	g_hash_table_insert(e->broker.claims, &pending->ask_id, pending);
	entry_claim_submit(e, pending);
}

void entry_post_release(void *task)
{
	struct entry_claim *claim = task;
	struct entry *e = claim->entry;
	struct entry_home *home = entry_claim_home(e, claim->key);
	Once__Release msg = ONCE__RELEASE__INIT;

	msg.key = claim->key;
	msg.id = claim->id;
	if (home)
		frm_send(home->conn, MSG_ONCE_RELEASE, &msg.base);
	entry_claim_free(claim);
}

int entry_on_verdict(struct entry *e, const uint8_t *body, size_t len)
{
	Once__Verdict *msg = once__verdict__unpack(NULL, len, body);
	struct entry_pending_claim *pending;

	if (!msg)
		return BASE_EFRAME;
	pending = g_hash_table_lookup(e->broker.claims, &msg->ask_id);
	if (pending) {
		entry_home_end_wait(entry_home_find(e, pending->home));
		entry_send_verdict(e, pending, (int)msg->verdict, msg->winner);
	}
	once__verdict__free_unpacked(msg, NULL);
	return 0;
}
