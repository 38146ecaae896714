package kit

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Call makes one call at an operators' door and returns the answer's line; it is empty without an answer.
func Call(address, line string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "%s\n", line)
	text, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(text)
}

// Yes reports whether the answer to a call is a yes.
func Yes(address, line string) bool { return strings.HasPrefix(Call(address, line), "200") }
