#include "base/early.h"
#include "base/err.h"

#include <errno.h>
#include <fcntl.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	EARLY_OPEN_US = 5000000,    /* time for which a connection stays open, in us */
	EARLY_OPEN_MAX = 1024,	    /* connections; above it, the longest open one is closed */
	EARLY_DROP_BYTES = 1 << 20, /* dropped by one call to the kernel */
	EARLY_DROPS_MAX = 16	    /* such calls for one connection in a sweep */
};

/* A connection whose client may still send. */
struct early_conn {
	int fd;
	int64_t until_us;
};

void early_init(struct early *early)
{
	pthread_mutex_init(&early->lock, NULL);
	g_queue_init(&early->open);
}

static void early_conn_free(struct early_conn *conn)
{
	close(conn->fd);
	g_free(conn);
}

void early_finish(struct early *early)
{
	struct early_conn *conn;

	while ((conn = g_queue_pop_head(&early->open)))
		early_conn_free(conn);
	pthread_mutex_destroy(&early->lock);
}

static GString *early_text(const struct early_response *response)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "HTTP/1.1 %d %s\r\nConnection: close\r\n", response->status,
			MHD_get_reason_phrase_for((unsigned int)response->status));
	if (response->type)
		g_string_append_printf(text, "Content-Type: %s\r\n", response->type);
	for (guint i = 0; response->headers && i + 1 < response->headers->len; i += 2)
		g_string_append_printf(text, "%s: %s\r\n",
				       (const char *)response->headers->pdata[i],
				       (const char *)response->headers->pdata[i + 1]);
	g_string_append_printf(text, "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n", response->len);
	g_string_append_len(text, response->body, (gssize)response->len);
	return text;
}

static void early_keep_open(struct early *early, int fd, int64_t now_us)
{
	struct early_conn *conn = g_new0(struct early_conn, 1);

	conn->fd = fd;
	conn->until_us = now_us + EARLY_OPEN_US;
	pthread_mutex_lock(&early->lock);
	if (g_queue_get_length(&early->open) >= EARLY_OPEN_MAX)
		early_conn_free(g_queue_pop_head(&early->open));
	g_queue_push_tail(&early->open, conn);
	pthread_mutex_unlock(&early->lock);
}

int early_reply(struct early *early, int fd, const struct early_response *response, int64_t now_us)
{
	GString *text = early_text(response);
	ssize_t n = send(fd, text->str, text->len, MSG_NOSIGNAL | MSG_DONTWAIT);
	bool sent = n == (ssize_t)text->len;
	int kept = fcntl(fd, F_DUPFD_CLOEXEC, 0);

	g_string_free(text, TRUE);
	shutdown(fd, SHUT_WR);
	if (kept >= 0)
		early_keep_open(early, kept, now_us);
	return sent && kept >= 0 ? 0 : BASE_ESYS;
}

/* Drops what has come. Returns whether the client may send more. */
static bool early_drop(const struct early_conn *conn)
{
	ssize_t n = 1;

	for (int i = 0; i < EARLY_DROPS_MAX && n > 0; i++)
		n = recv(conn->fd, NULL, EARLY_DROP_BYTES, MSG_TRUNC | MSG_DONTWAIT);
	return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

void early_on_sweep(struct early *early, int64_t now_us)
{
	GList *link;

	pthread_mutex_lock(&early->lock);
	link = early->open.head;
	while (link) {
		GList *next = link->next;
		struct early_conn *conn = link->data;

		if (!early_drop(conn) || conn->until_us <= now_us) {
			g_queue_delete_link(&early->open, link);
			early_conn_free(conn);
		}
		link = next;
	}
	pthread_mutex_unlock(&early->lock);
}
