#include "base/jl.h"
#include "router/rc.h"

#include <string.h>

enum {
	HOSTS_CALL_MS = 1000,
	HOSTS_RETRY_MS = 500,
	HTTP_OK = 200
};

/* What the store's list lacks, or has too much, since it came back from a copy. */
enum hosts_due {
	HOSTS_ADD = 1,
	HOSTS_REMOVE
};

struct hosts {
	struct rc *rc;
	GHashTable *gone; /* names of hosts that have left */
	GHashTable *seen; /* names in the listing that is read */
	GHashTable *due;  /* name -> enum hosts_due */
	GHashTable *kept; /* names that the store has, as far as this host has read */
	bool returned;	  /* the next listing is compared with what is known */
	bool comparing;	  /* this one is */
	struct store_call *write;
	int64_t write_us; /* not before */
};

static void hosts_on_written(void *ctx, const struct store_answer *answer);

static GHashTable *hosts_names(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct hosts *hosts_new(struct rc *rc)
{
	struct hosts *hosts = g_new0(struct hosts, 1);

	hosts->rc = rc;
	hosts->gone = hosts_names();
	hosts->seen = hosts_names();
	hosts->due = hosts_names();
	hosts->kept = hosts_names();
	return hosts;
}

void hosts_free(struct hosts *hosts)
{
	if (hosts->write)
		store_call_cancel(hosts->write);
	g_hash_table_destroy(hosts->gone);
	g_hash_table_destroy(hosts->seen);
	g_hash_table_destroy(hosts->due);
	g_hash_table_destroy(hosts->kept);
	g_free(hosts);
}

static void hosts_note_gone(struct hosts *hosts, const char *name, bool gone)
{
	if (!gone) {
		g_hash_table_remove(hosts->gone, name);
		return;
	}
	if (g_hash_table_size(hosts->gone) >= HN_GONE_MAX)
		g_hash_table_remove_all(hosts->gone);
	g_hash_table_add(hosts->gone, g_strdup(name));
}

static void hosts_set_due(struct hosts *hosts, const char *name, enum hosts_due due)
{
	g_hash_table_replace(hosts->due, g_strdup(name), GINT_TO_POINTER(due));
}

void hosts_on_return(struct hosts *hosts)
{
	hosts->returned = true;
	hosts->comparing = false;
}

void hosts_on_listing(struct hosts *hosts)
{
	hosts->comparing = hosts->returned;
	g_hash_table_remove_all(hosts->seen);
}

void hosts_on_record(struct hosts *hosts, const char *name, struct str text)
{
	if (hosts->comparing && text.data && g_hash_table_contains(hosts->gone, name)) {
		hosts_set_due(hosts, name, HOSTS_REMOVE);
		return;
	}
	if (text.data) {
		g_hash_table_add(hosts->seen, g_strdup(name));
		g_hash_table_add(hosts->kept, g_strdup(name));
	} else {
		g_hash_table_remove(hosts->kept, name);
	}
	g_hash_table_remove(hosts->due, name);
	hosts_note_gone(hosts, name, !text.data);
	rc_take_host(hosts->rc, name, text);
}

void hosts_on_listed(struct hosts *hosts)
{
	GHashTableIter iter;
	gpointer name;

	if (!hosts->comparing)
		return;
	hosts->comparing = false;
	hosts->returned = false;
	g_hash_table_iter_init(&iter, hosts->rc->hosts);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!g_hash_table_contains(hosts->seen, name))
			hosts_set_due(hosts, name, HOSTS_ADD);
	}
	/* Followers look whether they are in the list. */
	hn_on_compared(&hosts->rc->host_news);
}

/* Only the first reader writes it, and only if the store has no entry of it by then. */
void hosts_on_asked(struct hosts *hosts, const char *name, const struct rc_host *host)
{
	char *text = rc_host_text(host);

	if (!g_hash_table_contains(hosts->kept, name))
		hosts_set_due(hosts, name, HOSTS_ADD);
	hosts_note_gone(hosts, name, false);
	if (rc_take_host(hosts->rc, name, str_of(text)))
		follow_tell_host(hosts->rc->follow, name, host);
	g_free(text);
}

void hosts_tell_feeder(const struct hosts *hosts)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, hosts->due);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		const struct rc_host *host = g_hash_table_lookup(hosts->rc->hosts, name);

		if (host)
			follow_tell_host(hosts->rc->follow, name, host);
	}
}

static void hosts_add_record(const struct hosts *hosts, const char *name, enum hosts_due due,
			     GString *body)
{
	const struct rc_host *host = g_hash_table_lookup(hosts->rc->hosts, name);
	char *text = due == HOSTS_ADD && host ? rc_host_text(host) : NULL;
	GString *record = hosts->rc->router->seam->store.make_record(
		name, text ? str_of(text) : str_make(NULL, 0));

	g_string_append_len(body, record->str, (gssize)record->len);
	g_string_free(record, TRUE);
	g_free(text);
}

/*
 * One call for all: each host of some hundred writing its own would be more than the store takes at
 * once. Another reader, or the host itself, may do the same; it comes to the same list.
 */
static void hosts_write(struct hosts *hosts)
{
	GString *body = g_string_new(NULL);
	struct store_request request = {
		.path = hosts->rc->router->seam->store.append_path(SEAM_HOSTS),
		.body = body,
		.total_ms = HOSTS_CALL_MS,
	};
	GHashTableIter iter;
	gpointer name;
	gpointer due;

	g_hash_table_iter_init(&iter, hosts->due);
	while (g_hash_table_iter_next(&iter, &name, &due))
		hosts_add_record(hosts, name, GPOINTER_TO_INT(due), body);
	hosts->write = store_call(hosts->rc, &request, hosts_on_written, hosts);
	g_string_free(body, TRUE);
}

static void hosts_on_written(void *ctx, const struct store_answer *answer)
{
	struct hosts *hosts = ctx;
	bool good = answer->status == HTTP_OK;

	hosts->write = NULL;
	hosts->write_us = tmr_now() + tmr_ms(HOSTS_RETRY_MS);
	jl_begin(JL_KEEP, good ? "hosts_written_again" : "hosts_not_written");
	jl_int("status", answer->status);
	jl_str("error", answer->err < 0 ? store_strerror(answer->err) : NULL);
	jl_int("hosts", g_hash_table_size(hosts->due));
	jl_end();
	if (good)
		g_hash_table_remove_all(hosts->due);
}

void hosts_on_tick(struct hosts *hosts, int64_t now_us)
{
	const struct rc *rc = hosts->rc;

	if (!rc->rank.first || rc->stopping || !sf_is_reached(rc) || hosts->write)
		return;
	if (now_us >= hosts->write_us && g_hash_table_size(hosts->due) > 0)
		hosts_write(hosts);
}
