// Command genproto generates the Go code of the internal protocol from its .proto file. It
// does not need protoc: the compiler and the code generator are Go libraries pinned in
// go.mod.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const protoFile = "api/wire/v1/wire.proto"

func main() {
	out := flag.String("out", ".", "directory the generated tree is written to")
	flag.Parse()
	if err := generate(*out); err != nil {
		fmt.Fprintln(os.Stderr, "genproto:", err)
		os.Exit(1)
	}
}

func generate(out string) error {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{"."}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), protoFile)
	if err != nil {
		return err
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{protoFile},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(files[0])},
	}
	plugin, err := protogen.Options{}.New(request)
	if err != nil {
		return err
	}
	for _, file := range plugin.Files {
		if file.Generate {
			internal_gengo.GenerateFile(plugin, file)
		}
	}
	return write(out, plugin.Response())
}

func write(out string, response *pluginpb.CodeGeneratorResponse) error {
	if response.Error != nil {
		return fmt.Errorf("%s", response.GetError())
	}
	for _, file := range response.File {
		path := filepath.Join(out, file.GetName())
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(path, []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
