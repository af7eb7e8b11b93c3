#ifndef CONF_CLOG_H
#define CONF_CLOG_H

#include "conf/conf.h"

G_BEGIN_DECLS

/*
 * The configuration as the platform's log tells it. Pure: records in offset order go in, the state
 * and a verdict for each command come out, the same on every host.
 *
 * A node that starts reads from the first record the log still holds. While it cannot know yet
 * whether a snapshot follows, it keeps the records; clog_on_end() tells it that the log has no
 * more.
 */
enum clog_outcome {
	CLOG_NONE,     /* not a change, or a change already seen */
	CLOG_ACCEPTED, /* revision is the new one */
	CLOG_REJECTED, /* problem and err tell why */
};

struct clog_verdict {
	enum clog_outcome outcome;
	char id[CONF_NAME_MAX + 1]; /* of the command */
	int64_t revision;	    /* after the record */
	int err;
	struct conf_problem problem;
};

struct clog {
	struct conf_state *state;
	int64_t revision;
	int64_t next;	       /* offset of the next record to apply */
	bool ready;	       /* state may be used */
	GPtrArray *pending;    /* records read before ready */
	GQueue *recent;	       /* struct clog_verdict of the last commands, oldest first */
	int64_t snapshot_at;   /* offset covered by the newest snapshot seen; -1: none */
	int64_t changes_since; /* changes accepted since that snapshot */
	uint64_t divergences;  /* snapshots in the log that disagree with this node */
};

void clog_init(struct clog *clog);
void clog_finish(struct clog *clog);

/* The log's first retained offset, as each read tells it. Returns 0 or CONF_EGAP. */
int clog_on_first(struct clog *clog, int64_t first);

/* One record. The verdict is CLOG_NONE until the node is ready. */
int clog_on_record(struct clog *clog, int64_t offset, struct str data,
		   struct clog_verdict *verdict);

/* The log has no more records. Returns 0, or CONF_EGAP when the state cannot be had from it. */
int clog_on_end(struct clog *clog);

/* A peer's state. Taken only if it is newer. Returns 1 if taken, 0 if not, CONF_ERECORD. */
int clog_on_peer_state(struct clog *clog, struct str snapshot);

/* The verdict of a command among the last ones, or NULL. */
const struct clog_verdict *clog_find(const struct clog *clog, const char *id);

/* Record texts; g_free() them. */
char *clog_change_record(const char *id, int64_t expected_revision, const char *by,
			 struct str statements);
char *clog_snapshot_record(const struct clog *clog);

G_END_DECLS

#endif
