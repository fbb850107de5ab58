package gooseengine

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
)

// BenchmarkLoad measures the fetch of a load report, including the server's side.
func BenchmarkLoad(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	report := "engine_process_info{process=\"p\"} 1\nengine_model_info{model=\"m\"} 1\nengine_cold 0\nengine_requests_running 3\n" +
		"engine_requests_waiting 0\nengine_kv_tokens_used 1000\nengine_kv_tokens_capacity 100000\n"
	response := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + strconv.Itoa(len(report)) + "\r\n\r\n" + report
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				for r := bufio.NewReaderSize(conn, 1<<10); ; {
					for {
						line, err := r.ReadString('\n')
						if err != nil {
							return
						}
						if strings.TrimSpace(line) == "" {
							break
						}
					}
					if _, err := io.WriteString(conn, response); err != nil {
						return
					}
				}
			}()
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := (OpenAI{}).Load(b.Context(), ln.Addr().String()); err != nil {
			b.Fatal(err)
		}
	}
}
