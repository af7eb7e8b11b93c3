#ifndef CONF_CLOG_H
#define CONF_CLOG_H

#include "conf/conf.h"

G_BEGIN_DECLS

/*
 * Rebuilds the configuration from the records of the platform's log. The module does no I/O: the
 * caller passes the records in order of their offsets. Every host that applies the same records
 * computes the same state and the same verdict for each command.
 *
 * A node that starts reads from the oldest record that the log still retains. A snapshot may follow
 * later in the log, so the node keeps the records until clog_on_log_end() reports the end of the
 * log. A node is one daemon that holds a copy of the configuration.
 */

/* Outcome of reading one record. */
enum clog_outcome {
	CLOG_NO_VERDICT, /* the record is no change or a repeated one, or the node is not ready */
	CLOG_ACCEPTED,	 /* the change was applied */
	CLOG_REJECTED,	 /* the change was not applied; err and problem give the reason */
};

/* Result of one command that was read from the log. */
struct clog_verdict {
	enum clog_outcome outcome;
	char id[CONF_NAME_MAX + 1];  /* id of the command */
	int64_t revision;	     /* revision of the configuration after the command */
	int err;		     /* enum conf_err if the command was rejected, else 0 */
	struct conf_problem problem; /* location and text of the error if it was rejected */
};

/* The configuration of one node, and the node's position in the log. */
struct clog {
	struct conf_state *state; /* declarations in force */
	int64_t revision;	  /* number of changes accepted since the log began */
	int64_t next;		  /* offset of the next record to apply */
	bool ready;		  /* the state is complete and may be used */
	GPtrArray *pending;	  /* struct clog_record: records read while not ready */
	GQueue *recent;		  /* struct clog_verdict of the latest commands, oldest first */
	int64_t snapshot_covers;  /* last offset covered by the newest snapshot; -1 if none */
	int64_t changes_since_snapshot; /* number of changes accepted since that snapshot */
	uint64_t divergences; /* number of snapshots read with a higher revision than this node's */
};

/* Initialises a node with an empty state that is not ready. */
void clog_init(struct clog *clog);
void clog_finish(struct clog *clog);

/*
 * Handles the offset of the oldest record that the log retains, which every read of the log
 * returns. Returns 0, or CONF_EGAP if a record that this node has not read yet has expired; the
 * node is then not ready until a snapshot covers the gap.
 */
int clog_on_oldest_offset(struct clog *clog, int64_t first);

/*
 * Applies one record, or keeps it while the node is not ready; the verdict's outcome is then
 * CLOG_NO_VERDICT. Returns 0, or CONF_ERECORD if the record is not a JSON object.
 */
int clog_on_record(struct clog *clog, int64_t offset, struct str data,
		   struct clog_verdict *verdict);

/*
 * Handles the end of the log: builds the state from the newest usable snapshot and the records
 * kept. Returns 0, or CONF_EGAP if the log does not hold enough records to build the state.
 */
int clog_on_log_end(struct clog *clog);

/*
 * Replaces the state by a peer's snapshot if its revision is higher, or the same while this node is
 * not ready. Returns 1 if replaced, 0 if not, CONF_ERECORD if the snapshot is malformed.
 */
int clog_on_peer_state(struct clog *clog, struct str snapshot);

/* Returns the verdict of the command with this id, or NULL if it is not among the recent ones. */
const struct clog_verdict *clog_find(const struct clog *clog, const char *id);

/* Returns the log record of a change as JSON text; the caller frees it with g_free(). */
char *clog_change_record(const char *id, int64_t expected_revision, const char *by,
			 struct str statements);

/* Returns the log record of a snapshot of this node's state as JSON text; freed with g_free(). */
char *clog_snapshot_record(const struct clog *clog);

G_END_DECLS

#endif
